package fleetcommands

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"lanewheel/internal/coordination"
)

// goldenColumns are the columns of an exported history.
const goldenColumns = "nth INT(64,true), at_ms INT(64,true), by STRING, do STRING, what STRING, agreed BOOLEAN, " +
	"why STRING, number INT(64,true)"

// TestGoldenHistory checks the bytes, the columns and the values of a history exported as Parquet.
func TestGoldenHistory(t *testing.T) {
	history := append(goldenHistory(), coordination.HistoryEntry{
		Sequence:    10,
		At:          time.Second,
		RequestedBy: "bob",
		Kind:        coordination.KindHalt,
		Summary:     "all",
		Reply:       coordination.Reply{Reason: "halted already"},
	})
	path := filepath.Join(t.TempDir(), "history.parquet")
	if err := exportHistory(history, path); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "history.parquet", written)
	rows, err := parquet.ReadFile[historyRow]("testdata/history.parquet")
	if err != nil {
		t.Fatal(err)
	}
	want := []historyRow{
		{9, 61500, "ann", "release", "r2 to 2", true, "begun", 8},
		{10, 1000, "bob", "halt", "all", false, "halted already", 0},
	}
	if !reflect.DeepEqual(rows, want) {
		t.Fatalf("%+v", rows)
	}
	content := readGolden(t, "history.parquet")
	file, err := parquet.OpenFile(bytes.NewReader(content), int64(len(content)))
	if err != nil {
		t.Fatal(err)
	}
	var columns []string
	for _, path := range file.Schema().Columns() {
		leaf, _ := file.Schema().Lookup(path...)
		columns = append(columns, strings.Join(path, ".")+" "+leaf.Node.Type().String())
	}
	if got := strings.Join(columns, ", "); got != goldenColumns {
		t.Fatal(got)
	}
}
