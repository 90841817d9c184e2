package delivery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What becomes of a message.
func Example_settle() {
	b := NewRetryBudget(0.1)
	plain, retry := SettlementConfig{MaxAttempts: 3, DeadLetter: true}, SettlementConfig{MaxAttempts: 3, UseRetryQueue: true, RetryQueueDelay: time.Second, DeadLetter: true}
	show := func(name string, m Message, t SettlementConfig, how Outcome, after time.Duration) {
		f := b.Settle(m, t, how, after, 0.5)
		fmt.Printf("%s: answer %v %s dead %v then %s in %v\n", name, f.Reply, f.Code, f.DeadLetter, [...]string{"ack", "requeue", "reject"}[f.Action], f.Delay)
	}
	m := Message{Remaining: 10 * time.Second, Idempotent: true}
	show("acked", m, plain, Succeeded, 0)
	show("nacked", m, plain, Rejected, 0)
	show("nacked, come later", m, plain, Rejected, 2*time.Second)
	show("nacked, retry queue", m, retry, Rejected, 0)
	show("nacked, no time", Message{Remaining: 20 * time.Millisecond}, plain, Rejected, 0)
	show("nacked, no time for the retry queue", Message{Remaining: time.Second}, retry, Rejected, 0)
	show("nacked, last attempt", Message{Remaining: time.Minute, Attempt: 2}, retry, Rejected, 0)
	show("failed", m, retry, Failed, 0)
	show("denied", m, plain, Denied, 0)
	show("drained", m, retry, Drained, 0)
	show("drained, must not run twice", Message{Remaining: time.Second}, retry, Drained, 0)
	put := 0
	for range 100 {
		if !b.Settle(m, plain, Rejected, 0, 0).Reply {
			put++
		}
	}
	for range 50 {
		b.CountFresh()
	}
	fmt.Println("budget", put, b.Settle(m, plain, Rejected, 0, 0).Reply)
	// Output:
	// acked: answer true acked dead false then ack in 0s
	// nacked: answer false  dead false then requeue in 200ms
	// nacked, come later: answer false  dead false then requeue in 2s
	// nacked, retry queue: answer false  dead false then reject in 200ms
	// nacked, no time: answer true failed dead true then ack in 0s
	// nacked, no time for the retry queue: answer true failed dead true then ack in 0s
	// nacked, last attempt: answer true out-of-attempts dead true then ack in 0s
	// failed: answer true failed dead true then ack in 0s
	// denied: answer true denied dead true then ack in 0s
	// drained: answer false  dead false then requeue in 0s
	// drained, must not run twice: answer false  dead false then reject in 0s
	// budget 7 false
}

// What becomes of any message: answered or put back, never both; put back only what never ran, in time to be tried again, within
// its attempts and the budget; a failure is never called acked.
func TestSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := NewRetryBudget(share)
		told := SettlementConfig{MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), UseRetryQueue: rapid.Bool().Draw(t, "retry"),
			RetryQueueDelay: time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond, DeadLetter: rapid.Bool().Draw(t, "dead")}
		fresh, back := 0, 0
		for range 100 {
			m := Message{Attempt: rapid.IntRange(0, 6).Draw(t, "attempt"), Idempotent: rapid.Bool().Draw(t, "twice"),
				Remaining: time.Duration(rapid.IntRange(-1000, 10_000).Draw(t, "left")) * time.Millisecond}
			if m.Attempt == 0 {
				b.CountFresh()
				fresh++
			}
			how := Outcome(rapid.IntRange(int(Succeeded), int(DuplicateID)).Draw(t, "how"))
			f := b.Settle(m, told, how, time.Duration(rapid.IntRange(0, 500).Draw(t, "after"))*time.Millisecond, rapid.Float64Range(0, 1).Draw(t, "chance"))
			switch {
			case f.Reply && (f.Action != Ack || f.Delay != 0 || f.Code == "" || (f.Code == "acked") != (how == Succeeded) || f.DeadLetter != (told.DeadLetter && how != Succeeded)):
				t.Fatalf("%s: %+v", how.Code(), f)
			case !f.Reply && how != Rejected && how != Drained, !f.Reply && (f.Action == Ack || f.DeadLetter):
				t.Fatalf("%s put back: %+v", how.Code(), f)
			case how == Drained && (f.Reply || f.Delay != 0 || f.Action == Requeue && told.UseRetryQueue && !m.Idempotent):
				t.Fatalf("drained: %+v", f)
			case how == Rejected && !f.Reply:
				back++
				if f.Delay >= m.Remaining || m.Attempt+1 >= told.MaxAttempts || told.UseRetryQueue != (f.Action == Reject) || told.UseRetryQueue && f.Delay+told.RetryQueueDelay >= m.Remaining {
					t.Fatalf("nacked %+v: %+v", m, f)
				}
			}
			if float64(back) > 10+share*float64(fresh) {
				t.Fatalf("%d put back of %d fresh, share %f", back, fresh, share)
			}
		}
	})
}
