package keyring

import (
	"errors"
	"os"
	"path/filepath"
)

// WriteFileAtomic replaces a file whole: no reader sees a part of it.
func WriteFileAtomic(path string, text []byte, mode os.FileMode) error {
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	f, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Chmod(mode), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = os.Remove(temporary)
	}
	return err
}
