package config

import (
	"cmp"
	"encoding/base64"
	"slices"
	"strings"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/membership"
)

// ParseClusterKeys parses the text of a file of cluster keys: one key per line, 16, 24 or 32 bytes in base64. The first
// key is the one that messages are encrypted with. path is the name of the file in diagnostics, which contain none of
// its text, because the keys are secret. The error is a diagnostic.List with all errors.
func ParseClusterKeys(path string, text []byte) ([]membership.Key, error) {
	var keys []membership.Key
	var diagnostics diagnostic.List
	report := func(line int, want string) {
		diagnostics = append(diagnostics, diagnostic.Diagnostic{File: path, Line: line, Want: want})
	}
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		switch n := len(key); {
		case err != nil || n != 16 && n != 24 && n != 32:
			report(i+1, "must be 16, 24 or 32 bytes in base64")
		case slices.ContainsFunc(keys, func(x membership.Key) bool { return string(x) == string(key) }):
			report(i+1, "must be unique; the same key appears on an earlier line")
		default:
			keys = append(keys, key)
		}
	}
	const maxKeys = 8 // a message from outside the cluster is tried with every key
	if len(keys) == 0 && len(diagnostics) == 0 || len(keys) > maxKeys {
		report(0, "must contain from 1 to 8 keys")
	}
	slices.SortFunc(diagnostics, func(a, b diagnostic.Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return keys, diagnostics.Err()
}
