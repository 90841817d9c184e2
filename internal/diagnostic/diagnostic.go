// Package diagnostic describes errors in files that people write: the position, the value that was read and what is
// accepted instead.
package diagnostic

import (
	"fmt"
	"strconv"
	"strings"
)

// maxValueBytes is the maximum number of bytes of a value that a message includes: enough to recognize the value.
const maxValueBytes = 60

// Diagnostic describes one error in a file.
//
//nolint:errname // normally an element of a List; an error only if it is handled on its own
type Diagnostic struct {
	File  string
	Line  int    // counts from 1; 0 if the error is not on a particular line
	Name  string // the name of the setting or section; empty if the error concerns the whole file
	Value string // the value as read; empty if it is missing or would not help
	Want  string // what is accepted, for example "must be a path", or what is wrong
}

// Error returns the diagnostic as one line: file:line: name: is "value", want.
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
