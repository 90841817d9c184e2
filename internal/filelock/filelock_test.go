package filelock

import (
	"errors"
	"io/fs"
	"path/filepath"
	"testing"
)

func noRetry() bool { return false }

// Only one holder has the lock at a time, and the lock can be acquired after its holder has closed it.
func TestAcquire(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	first, err := Acquire(path, noRetry)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Acquire(path, noRetry); !errors.Is(err, errLocked) {
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

// Acquire returns an error without retrying if the file cannot be opened.
func TestAcquireWithoutDirectory(t *testing.T) {
	_, err := Acquire(filepath.Join(t.TempDir(), "missing", "lock"), func() bool {
		t.Error("retried")
		return false
	})
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v, want %v", err, fs.ErrNotExist)
	}
}
