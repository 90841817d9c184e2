package delivery

import (
	"testing"
	"time"

	"lanewheel/internal/frontend"
)

// The words that answers, dead letters and counters say of an outcome.
func TestGoldenOutcomes(t *testing.T) {
	for outcome, want := range map[Outcome]string{Succeeded: "acked", Rejected: "nacked", Failed: "failed", Denied: "denied",
		Unservable: "unservable",
		Expired:    "past-due", MayHaveExecuted: "may-have-run", Drained: "drained", DuplicateID: "id-twice"} {
		if got := outcome.Code(); got != want {
			t.Errorf("%d is %q, want %q", outcome, got, want)
		}
	}
	out := NewRetryBudget(1).Settle(Message{Attempt: 2, Remaining: time.Hour}, SettlementConfig{MaxAttempts: 3}, Rejected, 0, 0.5)
	if out.Code != "out-of-attempts" || !out.Reply {
		t.Errorf("out of attempts: %+v", out)
	}
}

// The words that a watch socket says of a queue.
func TestGoldenStates(t *testing.T) {
	calm := frontend.Load{Ready: true, Healthy: true, Cores: 4, FreeCapacity: 1000}
	open := Queue{Name: "q", Weight: 1, MinInFlight: 1, MaxInFlight: 10}
	for want, change := range map[string]func(d *FlowController, load *frontend.Load) (blocked bool){
		"open":         func(*FlowController, *frontend.Load) bool { return false },
		"leaving":      func(_ *FlowController, l *frontend.Load) bool { l.Draining = true; return false },
		"runtime-down": func(_ *FlowController, l *frontend.Load) bool { l.Ready = false; return false },
		"blocked":      func(*FlowController, *frontend.Load) bool { return true },
		"memory":       func(_ *FlowController, l *frontend.Load) bool { l.FreeCapacity = 0; return false },
		"probing": func(d *FlowController, _ *frontend.Load) bool {
			for range 8 {
				d.Finished(0, "q", true)
			}
			return false
		},
		"coming": func(d *FlowController, _ *frontend.Load) bool {
			for range 8 {
				d.Finished(0, "q", true)
			}
			d.Finished(time.Minute, "q", false)
			return false
		},
	} {
		d, load := NewFlowController([]Queue{open}, 10), calm
		blocked := change(d, &load)
		d.Update(time.Minute, load, blocked)
		if got := d.State("q"); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	if got := NewFlowController(nil, 1).State("none"); got != "unknown" {
		t.Errorf("%q", got)
	}
}
