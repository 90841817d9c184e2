package fleetcommands

import (
	"io"
	"time"

	"github.com/parquet-go/parquet-go"

	"lanewheel/internal/coordination"
)

// printHistory prints the history as a table.
func printHistory(entries []coordination.HistoryEntry, out io.Writer) error {
	var printed textBuffer
	printed.rowf("nth\tat\tby\tdid\twhat\tcame to")
	for _, entry := range entries {
		outcome := "agreed"
		if !entry.OK {
			outcome = "refused"
		}
		if entry.Reason != "" {
			outcome += ": " + entry.Reason
		}
		printed.rowf("%d\t%v\t%s\t%s\t%s\t%s", entry.Sequence, entry.At.Round(time.Millisecond), entry.RequestedBy,
			entry.Kind, entry.Summary, outcome)
	}
	return printed.writeTo(out)
}

// historyRow is one exported command of the history. The column names are part of the stored format.
type historyRow struct {
	Sequence    int64  `parquet:"nth"`
	AtMillis    int64  `parquet:"at_ms"` // fleet time
	RequestedBy string `parquet:"by,dict"`
	Kind        string `parquet:"do,dict"`
	Summary     string `parquet:"what"`
	Agreed      bool   `parquet:"agreed"`
	Reason      string `parquet:"why"`
	PermitID    int64  `parquet:"number"`
}

// historySchema sets the name of the exported schema's root, which would otherwise be the name of the Go type.
var historySchema = parquet.NewSchema("line", parquet.SchemaOf(historyRow{}))

// exportHistory writes the history to a Parquet file.
func exportHistory(entries []coordination.HistoryEntry, path string) error {
	rows := make([]historyRow, 0, len(entries))
	for _, entry := range entries {
		rows = append(rows, historyRow{
			Sequence:    int64(entry.Sequence),
			AtMillis:    entry.At.Milliseconds(),
			RequestedBy: entry.RequestedBy,
			Kind:        string(entry.Kind),
			Summary:     entry.Summary,
			Agreed:      entry.OK,
			Reason:      entry.Reason,
			PermitID:    int64(entry.PermitID),
		})
	}
	return parquet.WriteFile(path, rows, historySchema)
}
