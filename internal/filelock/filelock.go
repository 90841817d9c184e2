// Package filelock provides a lock file that only one process of a machine can hold at a time.
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

// Acquire locks the file at path, which it creates if it does not exist. While another process holds the lock,
// Acquire calls retry, which should wait for a while, and tries again if retry returns true. If it returns false,
// Acquire returns an error. The lock is released by Close or, when its holder exits, by the kernel. It is not
// released earlier: a process that is stopped or hangs keeps it. So two processes can neither use the same directory
// nor grant the same leases, each according to its own memory.
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
			return err // nil if the lock was acquired
		}
		if !logged {
			slog.Warn("waiting for file lock", "path", file.Name())
		}
		if !retry() {
			return errLocked
		}
	}
}
