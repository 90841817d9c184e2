package setuptest

import (
	"errors"
	"testing"
)

func TestMust(t *testing.T) {
	if got := Must(3, nil); got != 3 {
		t.Errorf("Must(3, nil) = %d, want 3", got)
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
