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

// DataDirError is that a coordinator can't go on with its folder. Once the folder is moved away, the coordinator joins
// the others anew.
type DataDirError struct {
	Path    string // of the file, or a word for what is in the folder
	Problem string
	Err     error // nil: there is no other cause
}

func (e *DataDirError) Error() string {
	text := fmt.Sprintf("%s %s: move the folder away, and the coordinator joins the others anew", e.Path, e.Problem)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *DataDirError) Unwrap() error { return e.Err }

const (
	dataDirIDFile = "life" // in the folder
	dataDirIDSize = 4      // bytes, stored as hex digits
)

// loadServerID returns the coordinator's name with a part that is drawn once for its folder. A coordinator whose disk
// was wiped has forgotten its vote, and could vote a second time in one election: with its new folder it is another
// server, which the leader adds in place of the lost one.
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

// createServerID draws the part of a new folder and stores it.
func createServerID(config Config, path string) (raft.ServerID, error) {
	segments, err := filepath.Glob(filepath.Join(config.DataDir, "*.wal"))
	if err == nil && len(segments) > 0 {
		return "", &DataDirError{Path: path, Problem: "is missing beside a log"}
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

// writeNewFile creates a file that must not exist, and has it on disk when it returns.
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

// coordinatorName is the name of an ID without the part of the folder.
func coordinatorName(id raft.ServerID) string {
	return string(id[:max(0, strings.LastIndexByte(string(id), '.'))])
}
