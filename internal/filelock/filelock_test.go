package filelock

import (
	"errors"
	"io/fs"
	"path/filepath"
	"testing"
)

func never() bool { return false }

// One holder at a time; the lock is free again once its holder has closed it.
func TestAcquire(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	first, err := Acquire(path, never)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Acquire(path, never); !errors.Is(err, errLocked) {
		t.Fatalf("a second holder: %v, want %v", err, errLocked)
	}
	retries := 0
	second, err := Acquire(path, func() bool {
		retries++
		if retries == 3 {
			if err := first.Close(); err != nil {
				t.Error(err)
			}
		}
		return true
	})
	if err != nil || retries != 3 {
		t.Fatalf("after %d retries: %v, want 3", retries, err)
	}
	if err := second.Close(); err != nil {
		t.Error(err)
	}
}

// A file that cannot be opened is an error at once.
func TestAcquireWithoutDirectory(t *testing.T) {
	_, err := Acquire(filepath.Join(t.TempDir(), "missing", "lock"), func() bool {
		t.Error("retried")
		return false
	})
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v, want %v", err, fs.ErrNotExist)
	}
}
