package delivery

import (
	"testing"
	"time"

	"lanewheel/internal/frontend"
)

// The outcome names in replies, dead letters and counters.
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
			t.Errorf("outcome %d has name %q, want %q", outcome, got, want)
		}
	}
	lastAttempt := Message{PriorAttempts: 2, Remaining: time.Hour}
	disposition := NewRetryBudget(1).Settle(lastAttempt, SettlementConfig{MaxAttempts: 3}, Rejected, 0, 0.5)
	if disposition.Outcome.String() != "out-of-attempts" || !disposition.Reply {
		t.Errorf("rejected in the last attempt: %+v, want a reply with outcome out-of-attempts", disposition)
	}
}

// The queue state names on the status socket.
func TestGoldenStates(t *testing.T) {
	idleLoad := frontend.Load{Ready: true, Healthy: true, Cores: 4, FreeCapacity: 1000}
	open := Queue{Name: "q", Weight: 1, MinInFlight: 1, MaxInFlight: 10}
	for want, change := range map[string]func(flow *FlowController, load *frontend.Load) (blocked bool){
		"open":         func(*FlowController, *frontend.Load) bool { return false },
		"leaving":      func(_ *FlowController, l *frontend.Load) bool { l.Draining = true; return false },
		"runtime-down": func(_ *FlowController, l *frontend.Load) bool { l.Ready = false; return false },
		"blocked":      func(*FlowController, *frontend.Load) bool { return true },
		"memory":       func(_ *FlowController, l *frontend.Load) bool { l.FreeCapacity = 0; return false },
		"probing": func(flow *FlowController, _ *frontend.Load) bool {
			for range 8 {
				flow.RecordOutcome(0, "q", true)
			}
			return false
		},
		"coming": func(flow *FlowController, _ *frontend.Load) bool {
			for range 8 {
				flow.RecordOutcome(0, "q", true)
			}
			flow.RecordOutcome(time.Minute, "q", false)
			return false
		},
	} {
		flow, load := NewFlowController([]Queue{open}, 10), idleLoad
		blocked := change(flow, &load)
		flow.Update(time.Minute, load, blocked)
		if got := flow.State("q").String(); got != want {
			t.Errorf("state %q, want %q", got, want)
		}
	}
	if got := NewFlowController(nil, 1).State("none").String(); got != "unknown" {
		t.Errorf("state of an unconfigured queue %q, want %q", got, "unknown")
	}
}
