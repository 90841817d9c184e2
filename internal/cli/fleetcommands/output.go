package fleetcommands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// textBuffer collects what a command prints; it goes out in one write.
type textBuffer struct {
	buffer  bytes.Buffer
	columns *tabwriter.Writer // rows that are not aligned yet
}

// printf adds text after what is there.
func (t *textBuffer) printf(format string, args ...any) {
	t.endTable()
	fmt.Fprintf(&t.buffer, format, args...)
}

// rowf adds a row of cells that are separated by tabs. Rows one after the other are aligned as one table.
func (t *textBuffer) rowf(format string, args ...any) {
	if t.columns == nil {
		t.columns = tabwriter.NewWriter(&t.buffer, 0, 0, 2, ' ', 0)
	}
	_, _ = fmt.Fprintf(t.columns, format+"\n", args...) // a buffer takes all
}

func (t *textBuffer) endTable() {
	if t.columns != nil {
		_ = t.columns.Flush() // a buffer takes all
		t.columns = nil
	}
}

// writeTo writes what was collected.
func (t *textBuffer) writeTo(out io.Writer) error {
	t.endTable()
	_, err := t.buffer.WriteTo(out)
	return err
}

// printJSON prints a value for machines.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
