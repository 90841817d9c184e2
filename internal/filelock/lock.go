// Package filelock is a file that one process alone on a machine can hold.
package filelock

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"syscall"
)

var errLocked = errors.New("another process holds the lock")

// Acquire takes a lock, and waits for it while wait says so. The kernel gives it back when its holder ends, and not before: also one that stands still has it.
// Danger: two that go by one folder, or grant the same things, each by what it remembers.
func Acquire(path string, retry func() bool) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for logged := false; ; {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return file, nil
		}
		if err != syscall.EWOULDBLOCK {
			file.Close()
			return nil, err
		}
		if !logged {
			logged = true
			slog.Warn("waiting-for-lock", "file", path)
		}
		if !retry() {
			file.Close()
			return nil, errLocked
		}
	}
}
