package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table is a table with aligned columns. It is printed when it is complete.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer) table { return table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)} }

// newRightTable returns a table whose columns are aligned to the right.
func newRightTable(out io.Writer) table {
	return table{tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)}
}

// row adds a row. A write error is returned by print.
func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = io.WriteString(t.writer, strings.Join(texts, "\t")+"\n")
}

// print prints the table and returns the first write error.
func (t table) print() error { return t.writer.Flush() }
