package keyring

import (
	"errors"
	"os"
	"path/filepath"
)

// WriteFileAtomic replaces a file atomically: readers never see partial content. It writes a temporary file in the same
// folder, whose name starts with a dot, and renames it.
func WriteFileAtomic(path string, text []byte, mode os.FileMode) error {
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	file, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	err = errors.Join(err, file.Chmod(mode), file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = os.Remove(temporary) // best effort: the earlier error is returned
	}
	return err
}
