// Package lock is a file that one process alone on a machine can hold.
package lock

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"syscall"
)

var errHeld = errors.New("another process holds the lock")

// Hold takes a lock, and waits for it while wait says so. The kernel gives it back when its holder ends, and not before: also one that stands still has it.
// Danger: two that go by one folder, or grant the same things, each by what it remembers.
func Hold(path string, wait func() bool) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for told := false; ; {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if err != syscall.EWOULDBLOCK {
			f.Close()
			return nil, err
		}
		if !told {
			told = true
			slog.Warn("waiting-for-lock", "file", path)
		}
		if !wait() {
			f.Close()
			return nil, errHeld
		}
	}
}
