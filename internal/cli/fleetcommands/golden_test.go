package fleetcommands

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files of testdata anew")

// compareGolden compares what is written today with the file of testdata that an earlier version wrote.
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
		t.Fatalf("%s: written otherwise than before; now:\n%s", path, got)
	}
}

// readGolden reads a file of testdata.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}
