package rapidtest

import (
	"flag"
	"testing"
)

func TestSettings(t *testing.T) {
	for name, want := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if setting := flag.Lookup(name); setting == nil || setting.Value.String() != want {
			t.Errorf("%s is %v, want %s", name, setting, want)
		}
	}
}
