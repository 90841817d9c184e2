package lifecycle

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
)

const callersFile = "[role a]\ntypes = view\nmay = read\n"

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func load(t *testing.T, path string) OperatorConfig {
	t.Helper()
	loaded, err := LoadOperatorConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// Without an operator's file nothing is enabled.
func TestNoOperatorConfig(t *testing.T) {
	loaded := load(t, "")
	if loaded.Authn != nil || loaded.serverTLS != nil || loaded.ClusterKeys != nil || loaded.File.Log.Format != "text" {
		t.Errorf("%+v", loaded)
	}
}

// Equal contents have equal digests, and different contents have different digests.
func TestDigest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "op.ini")
	writeFile(t, path, callersFile)
	first, same := load(t, path), load(t, path)
	writeFile(t, path, callersFile+"\n")
	if other := load(t, path); first.digest != same.digest || first.digest == other.digest {
		t.Error("digests:", first.digest, same.digest, other.digest)
	}
}

// Settings that take effect only when the process starts must not change; all others may.
func TestCheckUnchanged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "op.ini")
	writeFile(t, path, callersFile)
	before := load(t, path)
	for _, test := range []struct{ name, text, changed string }{
		{"nothing", callersFile, ""},
		{"a role", callersFile + "[role b]\ntypes = view\nmay = read\n", ""},
		{"the log", callersFile + "[log]\nformat = json\n", "log.format"},
		{"no callers", "", "callers"},
	} {
		t.Run(test.name, func(t *testing.T) {
			writeFile(t, path, test.text)
			now := load(t, path)
			err := now.checkUnchanged(&before)
			var diagnostics diagnostic.List
			if test.changed == "" {
				if err != nil {
					t.Error(err)
				}
			} else if !errors.As(err, &diagnostics) || len(diagnostics) != 1 || diagnostics[0].Name != test.changed {
				t.Error(err)
			}
		})
	}
}

// If a file that the operator's file names is missing, the error contains its path.
func TestMissingReferencedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "op.ini")
	missing := filepath.Join(t.TempDir(), "missing.pem")
	writeFile(t, path, "[tls]\nlisten = 127.0.0.1:1\ncertificate = "+missing+"\nkey = "+missing+"\nclients = asked\n")
	_, err := LoadOperatorConfig(path)
	if err == nil || !strings.Contains(err.Error(), missing) {
		t.Error(err)
	}
}

// The operator's file of a standalone process must have the section of the process.
func TestStartStandalone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "op.ini")
	writeFile(t, path, callersFile)
	var diagnostics diagnostic.List
	_, err := StartStandalone(Options{OperatorPath: path}, "must have the section [x]",
		func(*config.Operator) bool { return false })
	if !errors.As(err, &diagnostics) || diagnostics[0].File != path || diagnostics[0].Want != "must have the section [x]" {
		t.Error(err)
	}
	started, err := StartStandalone(Options{OperatorPath: path}, "", func(*config.Operator) bool { return true })
	if err != nil || started.OperatorConfig.Authn == nil {
		t.Error(started, err)
	}
}
