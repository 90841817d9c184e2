package fleetcommands

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// compareGolden fails the test if got differs from the golden file in testdata. With -update it rewrites the file
// first.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		if bytes.IndexByte(got, 0) >= 0 {
			got = fmt.Appendf(nil, "%d bytes", len(got))
		}
		t.Fatalf("output differs from %s; got:\n%s", path, got)
	}
}

// readGolden reads a golden file from testdata.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}
