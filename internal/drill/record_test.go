package drill

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestRecord checks that a saved record is read back unchanged, and can be drawn and compared.
func TestRecord(t *testing.T) {
	record := Record{
		{100, kindRequest, "p0", "1", "acked", 5},
		{105, kindRun, "p0", "1", "", 0},
		{1500, kindBegin, "", "halves", "swallow", 1.5},
		{1600, kindDivergent, "", "", "", 2},
		{0, kindMetric, "", "x", "", 3},
	}
	path := filepath.Join(t.TempDir(), "record")
	if err := record.Save(path); err != nil {
		t.Fatal(err)
	}
	read, err := LoadRecord(path)
	if err != nil || !slices.Equal(read, record) {
		t.Fatal(err, read)
	}
	picture := path + ".svg"
	if err := record.Draw(picture); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(picture); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Fatal("the picture is not an SVG: ", err)
	}
	var out bytes.Buffer
	Compare(&out, record, append(Record{{200, kindRequest, "p0", "2", "Busy", 1}}, record...))
	if !bytes.Contains(out.Bytes(), []byte("+1")) {
		t.Fatal(out.String())
	}
}
