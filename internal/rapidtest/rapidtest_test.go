package rapidtest

import (
	"errors"
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

func TestMust(t *testing.T) {
	if got := Must(3, nil); got != 3 {
		t.Errorf("Must(3, nil) = %d", got)
	}
	failure := errors.New("failed")
	defer func() {
		recovered := recover()
		if err, isError := recovered.(error); !isError || !errors.Is(err, failure) {
			t.Errorf("panicked with %v, want %v", recovered, failure)
		}
	}()
	Must(0, failure)
}
