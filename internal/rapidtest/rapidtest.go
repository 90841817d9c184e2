// Package rapidtest is imported by tests alone. Importing it has rapid draw the same values in each run and leave no
// files behind, so that a run of the tests says the same everywhere.
package rapidtest

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags that are set here
)

func init() {
	for _, setting := range []struct{ name, value string }{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting.name, setting.value); err != nil {
			panic(err) // rapid has renamed its flag
		}
	}
}
