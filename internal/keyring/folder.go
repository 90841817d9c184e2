package keyring

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"lanewheel/internal/diagnostic"
)

// ReadFolder returns the contents of all .json files of a folder, by path. It skips names that start with a dot, as
// WriteFileAtomic uses them for files that are being written. The error is a diagnostic.List.
func ReadFolder(path string) (map[string][]byte, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, diagnostic.List{{File: path, Want: "cannot be read: " + err.Error()}}
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		if entry.IsDir() || strings.HasPrefix(entry.Name(), ".") || !strings.HasSuffix(entry.Name(), ".json") {
			continue
		}
		file := filepath.Join(path, entry.Name())
		if len(files) >= maxFiles {
			return nil, diagnostic.List{{File: path, Want: fmt.Sprintf("must have at most %d .json files", maxFiles)}}
		}
		if info, err := entry.Info(); err == nil && info.Size() > maxFileBytes {
			return nil, diagnostic.List{{File: file, Want: fmt.Sprintf("must be at most %d bytes", maxFileBytes)}}
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, diagnostic.List{{File: file, Want: "cannot be read: " + err.Error()}}
		}
		files[file] = text
	}
	return files, nil
}

// LoadSet reads and parses the key set of a folder. The error is a diagnostic.List.
func LoadSet(path string) (*KeySet, error) {
	files, err := ReadFolder(path)
	if err != nil {
		return nil, err
	}
	return ParseSet(files)
}
