package delivery

import (
	"testing"
	"time"

	"lanewheel/internal/frontend"
)

// How replies, dead letters and counters name the outcomes.
func TestGoldenOutcomes(t *testing.T) {
	for outcome, want := range map[Outcome]string{
		Succeeded:       "acked",
		Rejected:        "nacked",
		Failed:          "failed",
		Denied:          "denied",
		Unservable:      "unservable",
		Expired:         "past-due",
		MayHaveExecuted: "may-have-run",
		Drained:         "drained",
		DuplicateID:     "id-twice",
		OutOfAttempts:   "out-of-attempts",
	} {
		if got := outcome.String(); got != want {
			t.Errorf("%d is %q, want %q", outcome, got, want)
		}
	}
	lastAttempt := Message{Attempt: 2, Remaining: time.Hour}
	out := NewRetryBudget(1).Settle(lastAttempt, SettlementConfig{MaxAttempts: 3}, Rejected, 0, 0.5)
	if out.Outcome.String() != "out-of-attempts" || !out.Reply {
		t.Errorf("out of attempts: %+v", out)
	}
}

// How the status socket names the state of a queue.
func TestGoldenStates(t *testing.T) {
	calm := frontend.Load{Ready: true, Healthy: true, Cores: 4, FreeCapacity: 1000}
	open := Queue{Name: "q", Weight: 1, MinInFlight: 1, MaxInFlight: 10}
	for want, change := range map[string]func(flow *FlowController, load *frontend.Load) (blocked bool){
		"open":         func(*FlowController, *frontend.Load) bool { return false },
		"leaving":      func(_ *FlowController, l *frontend.Load) bool { l.Draining = true; return false },
		"runtime-down": func(_ *FlowController, l *frontend.Load) bool { l.Ready = false; return false },
		"blocked":      func(*FlowController, *frontend.Load) bool { return true },
		"memory":       func(_ *FlowController, l *frontend.Load) bool { l.FreeCapacity = 0; return false },
		"probing": func(flow *FlowController, _ *frontend.Load) bool {
			for range 8 {
				flow.Finished(0, "q", true)
			}
			return false
		},
		"coming": func(flow *FlowController, _ *frontend.Load) bool {
			for range 8 {
				flow.Finished(0, "q", true)
			}
			flow.Finished(time.Minute, "q", false)
			return false
		},
	} {
		flow, load := NewFlowController([]Queue{open}, 10), calm
		blocked := change(flow, &load)
		flow.Update(time.Minute, load, blocked)
		if got := flow.State("q").String(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	if got := NewFlowController(nil, 1).State("none").String(); got != "unknown" {
		t.Errorf("%q", got)
	}
}
