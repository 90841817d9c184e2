package keyring

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"lanewheel/internal/diagnostic"
)

// ReadFolder reads all files of a folder whose names end in .json, by their paths. Names that begin with a dot are left
// out: a file that is being written has one. Its errors are a diagnostic.List.
func ReadFolder(path string) (map[string][]byte, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		if entry.IsDir() || strings.HasPrefix(entry.Name(), ".") || !strings.HasSuffix(entry.Name(), ".json") {
			continue
		}
		file := filepath.Join(path, entry.Name())
		if len(files) >= maxFiles {
			return nil, diagnostic.List{{File: path, Want: fmt.Sprintf("wants %d files or fewer", maxFiles)}}
		}
		if info, err := entry.Info(); err == nil && info.Size() > maxFileBytes {
			return nil, diagnostic.List{{File: file, Want: fmt.Sprintf("wants %d bytes or fewer", maxFileBytes)}}
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, diagnostic.List{{File: file, Want: "can't be read: " + err.Error()}}
		}
		files[file] = text
	}
	return files, nil
}

// LoadSet reads the set of a folder. Its errors are a diagnostic.List.
func LoadSet(path string) (*KeySet, error) {
	files, err := ReadFolder(path)
	if err != nil {
		return nil, err
	}
	return ParseSet(files)
}
