package delivery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The disposition of a message, by outcome and configuration. The last line shows the limit of the retry budget.
func Example_settle() {
	b := NewRetryBudget(0.1)
	plain := SettlementConfig{MaxAttempts: 3, DeadLetter: true}
	retry := SettlementConfig{MaxAttempts: 3, UseRetryQueue: true, RetryQueueDelay: time.Second, DeadLetter: true}
	show := func(name string, m Message, config SettlementConfig, outcome Outcome, retryAfter time.Duration) {
		d := b.Settle(m, config, outcome, retryAfter, 0.5)
		action := [...]string{"ack", "requeue", "reject", "resubmit"}[d.Action]
		fmt.Printf("%s: answer %v %s dead %v then %s in %v\n",
			name, d.Reply, d.Outcome, d.DeadLetter, action, d.Delay)
	}
	m := Message{Remaining: 10 * time.Second, Idempotent: true}
	show("acked", m, plain, Succeeded, 0)
	show("rejected", m, plain, Rejected, 0)
	show("rejected, come later", m, plain, Rejected, 2*time.Second)
	show("rejected, retry queue", m, retry, Rejected, 0)
	show("rejected, no time", Message{Remaining: 20 * time.Millisecond}, plain, Rejected, 0)
	show("rejected, no time for the retry queue", Message{Remaining: time.Second}, retry, Rejected, 0)
	show("rejected, last attempt", Message{Remaining: time.Minute, PriorAttempts: 2}, retry, Rejected, 0)
	stated, unstated := m, m
	stated.DeadlineSource, unstated.DeadlineSource = FromExpiration, NotStated
	show("rejected, expiration", stated, plain, Rejected, 0)
	show("rejected, expiration, retry queue", stated, retry, Rejected, 0)
	show("rejected, deadline not stated", unstated, plain, Rejected, 0)
	show("failed", m, retry, Failed, 0)
	show("denied", m, plain, Denied, 0)
	show("drained", m, retry, Drained, 0)
	show("drained, expiration", stated, plain, Drained, 0)
	show("drained, deadline not stated", unstated, plain, Drained, 0)
	show("drained, must not run twice", Message{Remaining: 2 * time.Second}, retry, Drained, 0)
	show("drained, must not run twice, no time", Message{Remaining: time.Second}, retry, Drained, 0)
	returned := 0
	for range 100 {
		if !b.Settle(m, plain, Rejected, 0, 0).Reply {
			returned++
		}
	}
	for range 50 {
		b.CountFresh()
	}
	fmt.Println("budget", returned, b.Settle(m, plain, Rejected, 0, 0).Reply)
	// Output:
	// acked: answer true acked dead false then ack in 0s
	// rejected: answer false  dead false then requeue in 200ms
	// rejected, come later: answer false  dead false then requeue in 2s
	// rejected, retry queue: answer false  dead false then reject in 200ms
	// rejected, no time: answer true failed dead true then ack in 0s
	// rejected, no time for the retry queue: answer true failed dead true then ack in 0s
	// rejected, last attempt: answer true out-of-attempts dead true then ack in 0s
	// rejected, expiration: answer false  dead false then resubmit in 200ms
	// rejected, expiration, retry queue: answer false  dead false then resubmit in 200ms
	// rejected, deadline not stated: answer false  dead false then resubmit in 200ms
	// failed: answer true failed dead true then ack in 0s
	// denied: answer true denied dead true then ack in 0s
	// drained: answer false  dead false then requeue in 0s
	// drained, expiration: answer false  dead false then requeue in 0s
	// drained, deadline not stated: answer true failed dead true then ack in 0s
	// drained, must not run twice: answer false  dead false then reject in 0s
	// drained, must not run twice, no time: answer true failed dead true then ack in 0s
	// budget 4 false
}

// Each message is either replied to or retried. It is retried only if it was not executed, another attempt fits into
// the remaining time, and the attempts and the budget allow one. It is returned to the broker only if whoever receives
// it reads a deadline that is not later than this one, and has not passed. Only Succeeded is replied to as a success.
func TestSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		budget := NewRetryBudget(fraction)
		config := SettlementConfig{
			MaxAttempts:     rapid.IntRange(1, 5).Draw(t, "attempts"),
			UseRetryQueue:   rapid.Bool().Draw(t, "retry queue"),
			RetryQueueDelay: time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond,
			DeadLetter:      rapid.Bool().Draw(t, "dead letter"),
		}
		fresh, retries := 0, 0
		for range 100 {
			message := drawMessage(t)
			if message.PriorAttempts == 0 {
				budget.CountFresh()
				fresh++
			}
			outcome := Outcome(rapid.IntRange(int(Succeeded), int(DuplicateID)).Draw(t, "outcome"))
			retryAfter := time.Duration(rapid.IntRange(0, 500).Draw(t, "retry after")) * time.Millisecond
			disposition := budget.Settle(message, config, outcome, retryAfter, rapid.Float64Range(0, 1).Draw(t, "random"))
			if disposition.Reply {
				checkReplied(t, disposition, message, config, outcome)
			} else {
				checkRetried(t, disposition, message, config, outcome)
			}
			if outcome == Rejected && !disposition.Reply {
				retries++
			}
			if float64(retries) > 10+fraction*float64(fresh) {
				t.Fatalf("%d retries for %d fresh messages, fraction %f", retries, fresh, fraction)
			}
		}
	})
}

func drawMessage(t *rapid.T) Message {
	return Message{
		PriorAttempts:       rapid.IntRange(0, 6).Draw(t, "attempt"),
		Idempotent:          rapid.Bool().Draw(t, "idempotent"),
		Remaining:           time.Duration(rapid.IntRange(-1000, 10_000).Draw(t, "remaining")) * time.Millisecond,
		DeadlineSource:      DeadlineSource(rapid.IntRange(int(FromDefault), int(NotStated)).Draw(t, "source")),
		ChangedByRetryQueue: rapid.Bool().Draw(t, "changed"),
		RetryQueueShortens:  time.Duration(rapid.IntRange(0, 5000).Draw(t, "shortens")) * time.Millisecond,
	}
}

// survives reports whether a message that is returned after a delay is read with a deadline that is not later than this
// one, and that has not passed.
func survives(message Message, config SettlementConfig, action Action, delay time.Duration) bool {
	if action == Requeue {
		return message.DeadlineSource != NotStated && delay < message.Remaining
	}
	return message.DeadlineSource == FromDefault && !message.ChangedByRetryQueue &&
		delay+config.RetryQueueDelay < message.Remaining-message.RetryQueueShortens
}

// drainAction is how a draining instance returns a message.
func drainAction(message Message, config SettlementConfig) Action {
	if config.UseRetryQueue && !message.Idempotent {
		return Reject
	}
	return Requeue
}

func checkReplied(t *rapid.T, d Disposition, message Message, config SettlementConfig, outcome Outcome) {
	t.Helper()
	if d.Action != Ack || d.Delay != 0 || d.Outcome.String() == "" ||
		(d.Outcome.String() == "acked") != (outcome == Succeeded) ||
		d.DeadLetter != (config.DeadLetter && outcome != Succeeded) {
		t.Fatalf("invalid disposition of a message with outcome %s that is replied to: %+v", outcome, d)
	}
	if outcome == Drained && (d.Outcome != Failed || survives(message, config, drainAction(message, config), 0)) {
		t.Fatalf("drained message %+v was replied to: %+v", message, d)
	}
}

func checkRetried(t *rapid.T, d Disposition, message Message, config SettlementConfig, outcome Outcome) {
	t.Helper()
	if outcome != Rejected && outcome != Drained || d.Action == Ack || d.DeadLetter {
		t.Fatalf("invalid disposition of a retried message with outcome %s: %+v", outcome, d)
	}
	if d.Action != Resubmit && !survives(message, config, d.Action, d.Delay) {
		t.Fatalf("message %+v is returned and loses its deadline: %+v", message, d)
	}
	if outcome == Drained && (d.Delay != 0 || d.Action != drainAction(message, config)) {
		t.Fatalf("invalid disposition of a drained message: %+v", d)
	}
	if outcome == Drained {
		return
	}
	if d.Delay >= message.Remaining || message.PriorAttempts+1 >= config.MaxAttempts {
		t.Fatalf("invalid disposition of rejected message %+v: %+v", message, d)
	}
	if d.Action != Resubmit && (config.UseRetryQueue != (d.Action == Reject) || message.DeadlineSource == FromExpiration) {
		t.Fatalf("rejected message %+v returned on the wrong way: %+v", message, d)
	}
	if d.Action == Resubmit && message.DeadlineSource == FromDefault && !config.UseRetryQueue {
		t.Fatalf("rejected message %+v is kept, though requeueing it keeps its deadline: %+v", message, d)
	}
}

// A draining instance returns a delivery that it has not processed, unless the delivery would lose values or come back
// after its deadline.
func TestReturnUnreceived(t *testing.T) {
	retry := SettlementConfig{UseRetryQueue: true, RetryQueueDelay: time.Second}
	for _, tc := range []struct {
		name        string
		message     Message
		config      SettlementConfig
		redelivered bool
		want        Action
		ok          bool
	}{
		{"requeued", Message{Remaining: time.Minute}, SettlementConfig{}, false, Requeue, true},
		{"rejected", Message{Remaining: time.Minute}, retry, false, Reject, true},
		{"idempotent", Message{Remaining: time.Minute, Idempotent: true}, retry, false, Requeue, true},
		{"redelivered", Message{Remaining: time.Minute}, retry, true, Requeue, true},
		{"not read yet", Message{Remaining: time.Minute, DeadlineSource: NotStated}, retry, false, Reject, true},
		{"changed", Message{Remaining: time.Minute, ChangedByRetryQueue: true}, retry, false, Reject, false},
		{"no time", Message{Remaining: time.Second}, retry, false, Reject, false},
		{"shortened", Message{Remaining: 9 * time.Second, RetryQueueShortens: 8 * time.Second}, retry, false, Reject, false},
	} {
		action, ok := ReturnUnreceived(tc.message, tc.config, tc.redelivered)
		if ok != tc.ok || ok && action != tc.want {
			t.Errorf("%s: action %d, %v, want %d, %v", tc.name, action, ok, tc.want, tc.ok)
		}
	}
}
