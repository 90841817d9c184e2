package config

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"lanewheel/internal/membership"
)

// Operators write the file of cluster keys. Comments, blank lines and keys of all three sizes are read, in the order of
// the file.
func TestClusterKeyFile(t *testing.T) {
	const path = "testdata/cluster.keys"
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var all [72]byte
	for i := range all {
		all[i] = byte(1 + i)
	}
	want := []membership.Key{all[:16], all[16:40], all[40:]}
	for _, text := range [][]byte{text, bytes.ReplaceAll(text, []byte("\n"), []byte("\r\n"))} {
		if keys, err := ParseClusterKeys(path, text); err != nil || !reflect.DeepEqual(keys, want) {
			t.Errorf("keys %x, error %v; want %x", keys, err, want)
		}
	}
}
