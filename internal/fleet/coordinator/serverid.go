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

// loadServerID is the name with a part that is drawn once for a folder. Danger: a steward whose disk was wiped votes a second time in one election; its new
// folder is another server, which the leader takes in place of the lost one.
func loadServerID(config Config) (raft.ServerID, error) {
	path := filepath.Join(config.DataDir, "life")
	suffix, err := os.ReadFile(path)
	if err == nil && len(bytes.TrimSpace(suffix)) == 8 {
		return raft.ServerID(config.Name + "." + string(bytes.TrimSpace(suffix))), nil
	}
	if err == nil {
		return "", fmt.Errorf("%s is damaged: move the folder away, and the steward is taken in anew", path)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	if segments, _ := filepath.Glob(filepath.Join(config.DataDir, "*.wal")); len(segments) > 0 {
		return "", fmt.Errorf("%s is missing beside a log: move the folder away, and the steward is taken in anew", path)
	}
	var random [4]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	suffix = []byte(hex.EncodeToString(random[:]))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return "", err
	}
	defer file.Close()
	if _, err := file.Write(suffix); err != nil {
		return "", err
	}
	return raft.ServerID(config.Name + "." + string(suffix)), file.Sync()
}

func coordinatorName(id raft.ServerID) string {
	return string(id[:max(0, strings.LastIndexByte(string(id), '.'))])
}
