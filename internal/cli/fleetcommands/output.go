package fleetcommands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// textBuffer collects the output of a command, which is written in one call.
type textBuffer struct {
	buffer  bytes.Buffer
	columns *tabwriter.Writer // rows of a table that has not ended; nil outside a table
}

// printf ends the current table and appends text.
func (t *textBuffer) printf(format string, args ...any) {
	t.endTable()
	fmt.Fprintf(&t.buffer, format, args...)
}

// rowf adds a row of cells separated by tabs. Consecutive rows are aligned as one table.
func (t *textBuffer) rowf(format string, args ...any) {
	if t.columns == nil {
		t.columns = tabwriter.NewWriter(&t.buffer, 0, 0, 2, ' ', 0)
	}
	_, _ = fmt.Fprintf(t.columns, format+"\n", args...) // a write to a buffer does not fail
}

func (t *textBuffer) endTable() {
	if t.columns != nil {
		_ = t.columns.Flush() // a write to a buffer does not fail
		t.columns = nil
	}
}

// writeTo writes the collected output.
func (t *textBuffer) writeTo(out io.Writer) error {
	t.endTable()
	_, err := t.buffer.WriteTo(out)
	return err
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
