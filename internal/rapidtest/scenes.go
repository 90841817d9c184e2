// Package rapidtest is for tests alone: whoever imports it has its property tests draw the same scenes each time.
package rapidtest

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Must ends a test that can't go on.
func Must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
