// Package filelock is a lock file that one process of a machine holds at a time.
package filelock

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"syscall"
)

var errLocked = errors.New("another process holds the lock")

// Acquire takes the lock of the file at path, which it creates if need be. While another process has it, Acquire
// calls retry, which is expected to wait for a while, and tries again as long as that returns true. The lock is
// released by Close or, by the kernel, when its holder ends and not before: a process that stands still keeps it. So
// no two processes use one directory, or grant the same leases, each by its own memory.
func Acquire(path string, retry func() bool) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := lock(file, retry); err != nil {
		_ = file.Close() // nothing was written
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

func lock(file *os.File, retry func() bool) error {
	for logged := false; ; logged = true {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return err // nil once it is ours
		}
		if !logged {
			slog.Warn("waiting for file lock", "path", file.Name())
		}
		if !retry() {
			return errLocked
		}
	}
}
