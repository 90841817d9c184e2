package fleetcommands

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/parquet-go/parquet-go"

	"lanewheel/internal/coordination"
)

func printHistory(entries []coordination.HistoryEntry, out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nth\tat\tby\tdid\twhat\tcame to")
	for _, entry := range entries {
		outcome := "agreed"
		if !entry.OK {
			outcome = "refused"
		}
		if entry.Reason != "" {
			outcome += ": " + entry.Reason
		}
		fmt.Fprintf(table, "%d\t%v\t%s\t%s\t%s\t%s\n", entry.Sequence, entry.At.Round(time.Millisecond), entry.RequestedBy, entry.Kind, entry.Summary, outcome)
	}
	table.Flush()
}

// historyRow is one command of the history, as it is exported.
type historyRow struct {
	Nth    int64  `parquet:"nth"`
	AtMS   int64  `parquet:"at_ms"`
	By     string `parquet:"by,dict"`
	Do     string `parquet:"do,dict"`
	What   string `parquet:"what"`
	Agreed bool   `parquet:"agreed"`
	Why    string `parquet:"why"`
	Number int64  `parquet:"number"`
}

// schema names the root of the exported history's Parquet schema, which would follow the name of the Go type.
var schema = parquet.NewSchema("line", parquet.SchemaOf(historyRow{}))

func exportHistory(entries []coordination.HistoryEntry, path string) error {
	var rows []historyRow
	for _, entry := range entries {
		rows = append(rows, historyRow{int64(entry.Sequence), entry.At.Milliseconds(), entry.RequestedBy, string(entry.Kind), entry.Summary, entry.OK, entry.Reason, int64(entry.PermitID)})
	}
	return parquet.WriteFile(path, rows, schema)
}
