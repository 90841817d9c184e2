package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table is a table that is printed once it is whole.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer) table { return table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)} }

// newRightTable makes a table whose columns are aligned to the right.
func newRightTable(out io.Writer) table {
	return table{tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)}
}

// row adds a row. An error is told by print.
func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = io.WriteString(t.writer, strings.Join(texts, "\t")+"\n")
}

// print prints the table.
func (t table) print() error { return t.writer.Flush() }
