package coordinator

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/hashicorp/raft"
)

// DataDirError is returned if a coordinator cannot use its data directory. After the directory is moved away, the
// coordinator joins the others again with a new one.
type DataDirError struct {
	Path    string // path of the damaged file, or a description of the unreadable data
	Problem string
	Err     error // underlying error; may be nil
}

func (e *DataDirError) Error() string {
	text := fmt.Sprintf("%s %s: move the data directory away to let the coordinator join again", e.Path, e.Problem)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *DataDirError) Unwrap() error { return e.Err }

const (
	dataDirIDFile = "life" // file name in the data directory
	dataDirIDSize = 4      // bytes; stored as hexadecimal digits
)

// loadServerID returns the server ID: the coordinator's name and a random suffix that identifies its data directory. A
// coordinator whose disk was wiped has lost the record of its vote and could vote twice in one election. Its new data
// directory has another suffix, which makes it another server, and the leader adds it in place of the lost one. The
// suffix is created at the first start.
func loadServerID(config Config) (raft.ServerID, error) {
	path := filepath.Join(config.DataDir, dataDirIDFile)
	stored, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return createServerID(config, path)
	case err != nil:
		return "", err
	}
	dataDirID := bytes.TrimSpace(stored)
	if len(dataDirID) != hex.EncodedLen(dataDirIDSize) {
		return "", &DataDirError{Path: path, Problem: "is damaged"}
	}
	return raft.ServerID(config.Name + "." + string(dataDirID)), nil
}

// createServerID generates and stores the suffix of a new data directory, and returns the server ID. It returns a
// DataDirError if the directory contains a log, which means that the suffix has been lost.
func createServerID(config Config, path string) (raft.ServerID, error) {
	segments, err := filepath.Glob(filepath.Join(config.DataDir, "*.wal"))
	if err == nil && len(segments) > 0 {
		return "", &DataDirError{Path: path, Problem: "is missing, but the directory contains a log"}
	}
	var random [dataDirIDSize]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	dataDirID := hex.EncodeToString(random[:])
	if err := writeNewFile(path, dataDirID); err != nil {
		return "", err
	}
	return raft.ServerID(config.Name + "." + dataDirID), nil
}

// writeNewFile creates a file and syncs it to disk before it returns. It returns an error if the file exists.
func writeNewFile(path, text string) (err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.WriteString(text); err != nil {
		return err
	}
	return file.Sync()
}

// coordinatorName returns the coordinator's name: the server ID without the suffix of the data directory.
func coordinatorName(id raft.ServerID) string {
	return string(id[:max(0, strings.LastIndexByte(string(id), '.'))])
}
