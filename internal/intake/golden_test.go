package intake

import (
	"testing"
	"time"

	"lanewheel/internal/front"
)

// The words that answers, dead letters and counters say of an outcome.
func TestGoldenOutcomes(t *testing.T) {
	for outcome, want := range map[Outcome]string{Acked: "acked", Nacked: "nacked", Failed: "failed", Denied: "denied",
		Unservable: "unservable",
		PastDue:    "past-due", MayHaveRun: "may-have-run", Drained: "drained", Twice: "id-twice"} {
		if got := outcome.Word(); got != want {
			t.Errorf("%d is %q, want %q", outcome, got, want)
		}
	}
	out := NewBudget(1).Settle(Message{Attempt: 2, Left: time.Hour}, Told{Attempts: 3}, Nacked, 0, 0.5)
	if out.Word != "out-of-attempts" || !out.Answer {
		t.Errorf("out of attempts: %+v", out)
	}
}

// The words that a watch socket says of a queue.
func TestGoldenStates(t *testing.T) {
	calm := front.Load{Ready: true, Healthy: true, Cores: 4, FreeCapacity: 1000}
	open := Queue{Name: "q", Weight: 1, Floor: 1, Most: 10}
	for want, change := range map[string]func(d *Desk, load *front.Load) (blocked bool){
		"open":         func(*Desk, *front.Load) bool { return false },
		"leaving":      func(_ *Desk, l *front.Load) bool { l.Draining = true; return false },
		"runtime-down": func(_ *Desk, l *front.Load) bool { l.Ready = false; return false },
		"blocked":      func(*Desk, *front.Load) bool { return true },
		"memory":       func(_ *Desk, l *front.Load) bool { l.FreeCapacity = 0; return false },
		"probing": func(d *Desk, _ *front.Load) bool {
			for range 8 {
				d.Ended(0, "q", true)
			}
			return false
		},
		"coming": func(d *Desk, _ *front.Load) bool {
			for range 8 {
				d.Ended(0, "q", true)
			}
			d.Ended(time.Minute, "q", false)
			return false
		},
	} {
		d, load := NewDesk([]Queue{open}, 10), calm
		blocked := change(d, &load)
		d.Look(time.Minute, load, blocked)
		if got := d.State("q"); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	if got := NewDesk(nil, 1).State("none"); got != "unknown" {
		t.Errorf("%q", got)
	}
}
