package drill

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"lanewheel/internal/config"
	"lanewheel/internal/goldentest"
)

// sampleRecord returns a record with rows of each kind, built as at the end of a drill.
func sampleRecord() Record {
	startedAt := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return startedAt.Add(time.Duration(ms) * time.Millisecond) }
	processes := []*process{{name: "p000"}, {name: "p001"}}
	requests := &requestLog{requests: []*issuedRequest{
		{
			id: "0000000000000001", class: "view", sentAt: at(100), answeredAt: at(105), outcome: outcomeSucceeded,
			responses: 1, executions: []execution{{1, at(103)}},
		},
		{
			id: "0000000000000002", class: "pay", process: 1, sentAt: at(200), answeredAt: at(202),
			outcome: outcomeRejected, responses: 1,
		},
		{
			id: "0000000000000003", class: "list", sentAt: at(300), answeredAt: at(340), outcome: outcomeFailed,
			responses: 1, executions: []execution{{0, at(310)}},
		},
		{id: "0000000000000004", class: "view", sentAt: at(400), answeredAt: at(450), outcome: outcomeBroken},
		{id: "0000000000000005", class: "view", sentAt: at(500), answeredAt: at(500)},
	}}
	halves := &config.DrillFault{Name: "halves", Action: "swallow", Command: "halt"}
	agree := &config.DrillFault{Name: "stop", Action: "agree", Command: "halt"}
	network := newNetwork(1)
	network.counters[link{0, 1}] = &linkCounters{
		datagrams: 1, bytes: 2, streams: 3, streamBytes: 4,
		dropped: 5, delayed: 6, duplicated: 7, reordered: 8, corrupted: 9, refused: 10, reset: 11, halfClosed: 12,
	}
	results := &results{
		startedAt: startedAt,
		requests:  requests,
		events: []Event{
			{At: 1500 * time.Millisecond, Fault: halves, From: []int{0}, To: []int{1}},
			{At: 2 * time.Second, Fault: agree, Targets: []int{}},
			{At: 3500 * time.Millisecond, Fault: halves, Undo: true, From: []int{0}, To: []int{1}},
		},
		divergent:  []Row{{1600, "differs", "", "", "", 2}},
		links:      network.rows(func(i int) string { return processes[i].name }),
		violations: []violation{{2500 * time.Millisecond, "no op lost", "no answer"}},
		metrics:    []metric{{"calm seconds", 3}},
	}
	return results.record(processes)
}

// TestGoldenRecord checks that the columns of a record and the words in them do not change: kinds, outcomes, rules and
// names of metrics.
func TestGoldenRecord(t *testing.T) {
	links := "1 datagrams of 2 bytes, 3 streams of 4; lost 5, delayed 6, twice 7, late 8, garbled 9, refused 10, " +
		"cut 11, halved 12"
	want := Record{
		{100, "op", "p000", "0000000000000001", "acked", 5},
		{103, "run", "p001", "0000000000000001", "", 0},
		{200, "op", "p001", "0000000000000002", "Busy", 2},
		{300, "op", "p000", "0000000000000003", "Failed", 40},
		{310, "run", "p000", "0000000000000003", "", 0},
		{400, "op", "p000", "0000000000000004", "broken", 50},
		{500, "op", "p000", "0000000000000005", "", 0},
		{1500, "done", "", "  1.50s halves: swallow 0 -> 1", "swallow", 1.5},
		{2000, "done", "", "  2.00s stop: halt", "agree", 2},
		{3500, "undone", "", "  3.50s halves: over: swallow 0 -> 1", "swallow", 3.5},
		{1600, "differs", "", "", "", 2},
		{2500, "violation", "", "  2.50s no op lost: no answer", "no op lost", 0},
		{0, "figure", "", "calm seconds", "", 3},
		{0, "link", "p000", "p001", links, 6},
	}
	if got := sampleRecord(); !slices.Equal(got, want) {
		t.Fatalf("the rows of a drill have changed:\n%v", got)
	}
	path := filepath.Join(t.TempDir(), "record.parquet")
	if err := want.Save(path); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CheckText(t, "testdata/record.parquet", written)
	read, err := LoadRecord("testdata/record.parquet")
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(read, want) {
		t.Fatalf("the rows read from the stored record have changed:\n%v", read)
	}
	var table, difference bytes.Buffer
	read.WriteTable(&table)
	goldentest.CheckText(t, "testdata/table.txt", table.Bytes())
	Compare(&difference, read, read[:3])
	goldentest.CheckText(t, "testdata/difference.txt", difference.Bytes())
}

// TestGoldenSchema checks the columns of a record, by name and type.
func TestGoldenSchema(t *testing.T) {
	text, err := os.ReadFile("testdata/record.parquet")
	if err != nil {
		t.Fatal(err)
	}
	file, err := parquet.OpenFile(bytes.NewReader(text), int64(len(text)))
	if err != nil {
		t.Fatal(err)
	}
	var columns []string
	for _, column := range file.Schema().Columns() {
		leaf, _ := file.Schema().Lookup(column...)
		columns = append(columns, strings.Join(column, ".")+" "+leaf.Node.Type().String())
	}
	want := []string{
		"at_ms INT(64,true)", "kind STRING", "process STRING", "name STRING", "outcome STRING", "value DOUBLE",
	}
	if !slices.Equal(columns, want) {
		t.Fatalf("columns %q, want %q", columns, want)
	}
}
