// Package rapidtest configures rapid for reproducible tests. Importing it makes rapid draw the same values in each run
// and write no failure files, so that the tests have the same result on every machine. Only tests import this package.
package rapidtest

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags that are set below
)

func init() {
	for _, setting := range []struct{ name, value string }{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting.name, setting.value); err != nil {
			panic(err) // rapid no longer has this flag
		}
	}
}
