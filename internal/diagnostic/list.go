package diagnostic

import (
	"cmp"
	"fmt"
	"slices"
)

// List is all that is wrong with what was read together. As an error it tells the first and how many more there are.
//
//nolint:errname // it is a list of diagnostics first; see Diagnostic
type List []Diagnostic

// Error is the first diagnostic, with the number of the others.
func (l List) Error() string {
	switch len(l) {
	case 0:
		return "nothing is wrong"
	case 1:
		return l[0].Error()
	}
	return fmt.Sprintf("%v (and %d more)", l[0], len(l)-1)
}

// Err is the list as an error, for errors.As a List; nil if nothing is wrong. It sorts the list in place, in the
// order of the lines.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	slices.SortStableFunc(l, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return l
}
