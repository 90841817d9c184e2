package diagnostic

import (
	"cmp"
	"fmt"
	"slices"
)

// List contains all the errors that were found in files that were read together.
//
//nolint:errname // primarily a list of diagnostics; see Diagnostic
type List []Diagnostic

// Error returns the first diagnostic and the number of the others.
func (l List) Error() string {
	switch len(l) {
	case 0:
		return "no errors"
	case 1:
		return l[0].Error()
	}
	return fmt.Sprintf("%v (and %d more)", l[0], len(l)-1)
}

// Err sorts the list by line, in place, and returns it as an error, from which errors.As extracts the List. Err returns
// nil if the list is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	slices.SortStableFunc(l, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return l
}
