package keyring

import (
	"errors"
	"os"
	"path/filepath"
)

// WriteFileAtomic replaces a file whole: no reader sees a part of it. While it is written it has another name, with a
// dot in front.
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
		_ = os.Remove(temporary) // the first error counts
	}
	return err
}
