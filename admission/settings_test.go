package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func TestApplyDefaults(t *testing.T) {
	for _, tc := range []struct {
		name                       string
		objective, timeout         time.Duration
		wantObjective, wantTimeout time.Duration
	}{
		{"both", 300 * ms, time.Second, 300 * ms, time.Second},
		{"objective over timeout", 2 * time.Second, time.Second, 2 * time.Second, time.Second},
		{"objective alone", 300 * ms, 0, 300 * ms, 300 * ms},
		{"timeout alone", 0, 2 * time.Second, 2 * time.Second, 2 * time.Second},
		{"neither", 0, 0, time.Second, time.Second},
		{"both too short", ms - 1, ms - 1, time.Second, time.Second},
		{"just long enough", ms, ms, ms, ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			settings := Settings{Classes: []ClassSettings{{LatencyObjective: tc.objective, Timeout: tc.timeout}}}
			settings.ApplyDefaults()
			got := settings.Classes[0]
			if got.LatencyObjective != tc.wantObjective || got.Timeout != tc.wantTimeout {
				t.Errorf("objective %v, timeout %v", got.LatencyObjective, got.Timeout)
			}
		})
	}
	for share, want := range map[float64]float64{-1: 0, 0: 0, 0.3: 0.3, 1: 1, 7: 1} {
		settings := Settings{WarmUpSpeedShare: share}
		settings.ApplyDefaults()
		if settings.WarmUpSpeedShare != want {
			t.Errorf("speed share %v becomes %v, want %v", share, settings.WarmUpSpeedShare, want)
		}
	}
}

func TestValidate(t *testing.T) {
	classes := []ClassSettings{{Name: "view"}}
	for _, tc := range []struct {
		name               string
		settings           Settings
		noCores, noClasses bool
	}{
		{"valid", Settings{Cores: 1, Classes: classes}, false, false},
		{"part of a core", Settings{Cores: 0.5, Classes: classes}, true, false},
		{"no classes", Settings{Cores: 1}, false, true},
		{"nothing", Settings{}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.settings.Validate()
			if errors.Is(err, ErrNoCores) != tc.noCores || errors.Is(err, ErrNoClasses) != tc.noClasses {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestEnumNames checks that each value of an enumeration has a name, and that the value after the last has none.
func TestEnumNames(t *testing.T) {
	for _, tc := range []struct {
		last, next fmt.Stringer
		want       string
		wantNext   string
	}{
		{IdempotentByKey, IdempotentByKey + 1, "idempotent by key", "Idempotency(3)"},
		{HaltPause, HaltPause + 1, "pause", "HaltMode(3)"},
		{UpstreamUnknown, UpstreamUnknown + 1, "unknown", "UpstreamKind(5)"},
		{LoadSignalTokens, LoadSignalTokens + 1, "tokens", "LoadSignal(4)"},
		{StateDraining, StateDraining + 1, "draining", "State(4)"},
		{NotStarted, NotStarted + 1, "not started", "Outcome(8)"},
	} {
		if got, gotNext := tc.last.String(), tc.next.String(); got != tc.want || gotNext != tc.wantNext {
			t.Errorf("named %q and %q, want %q and %q", got, gotNext, tc.want, tc.wantNext)
		}
	}
}
