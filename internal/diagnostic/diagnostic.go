// Package diagnostic tells what is wrong with a file that a person wrote: the place, what stands there and what is
// wanted.
package diagnostic

import (
	"fmt"
	"strconv"
	"strings"
)

// maxValueBytes is how much of a value is told: enough to show which one it is.
const maxValueBytes = 60

// Diagnostic is one thing that is wrong.
//
//nolint:errname // a finding that is listed, and an error only for who handles it alone
type Diagnostic struct {
	File  string
	Line  int    // counts from 1; 0: no line is to blame
	Name  string // of the setting or section; empty: the file as a whole
	Value string // as it was read; empty: it is missing, or not worth telling
	Want  string // what is wanted, or, without a value, what is wrong
}

// Error is the diagnostic on one line: "file:line: name: is "value", want".
func (d Diagnostic) Error() string {
	var b strings.Builder
	b.WriteString(d.File)
	if d.Line > 0 {
		b.WriteString(":" + strconv.Itoa(d.Line))
	}
	b.WriteString(": ")
	if d.Name != "" {
		b.WriteString(d.Name + ": ")
	}
	switch {
	case d.Value == "":
	case len(d.Value) > maxValueBytes:
		fmt.Fprintf(&b, "is %q..., ", d.Value[:maxValueBytes])
	default:
		fmt.Fprintf(&b, "is %q, ", d.Value)
	}
	return b.String() + d.Want
}
