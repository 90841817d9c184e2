package delivery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A random sequence of events, checked against a model. A message that must not be executed twice is processed once, no
// message is processed while it is in flight, a confirmed reply is not sent again, and the deliveries returned for
// settlement are those of open channels.
func TestDeduplicator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDeduplicator[string](1000, time.Hour)
		models := map[MessageID]*modelMessage{}
		tag, channel := uint64(0), uint64(1)
		for range 60 {
			id := MessageID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			model := models[id]
			if model == nil {
				model = &modelMessage{tags: map[Tag]bool{}}
				models[id] = model
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				tag++
				model.receive(t, d, Arrival{
					ID:          id,
					Content:     Content{Digest: 7},
					Tag:         Tag{ChannelID: channel, Number: tag},
					Redelivered: rapid.Bool().Draw(t, "redelivered"),
					Idempotent:  rapid.Bool().Draw(t, "idempotent"),
				})
			case 2:
				if model.inFlight {
					model.reply(t, d, id)
				}
			case 3:
				if model.inFlight && rapid.Bool().Draw(t, "returned") {
					action := rapid.SampledFrom([]Action{Requeue, Reject}).Draw(t, "action")
					d.MarkReturned(0, id, action)
					model.inFlight, model.returned, model.tags = false, action == Reject, map[Tag]bool{}
					model.requeued = action == Requeue
				} else if model.replied {
					d.MarkReplyConfirmed(id)
					model.confirmed = true
				}
			case 4:
				d.ForgetChannel(channel)
				channel++
				for _, other := range models {
					clear(other.tags)
				}
			}
		}
	})
}

// modelMessage is the expected state of one message.
type modelMessage struct {
	inFlight, replied, confirmed, returned, requeued bool
	tags                                             map[Tag]bool
}

func (m *modelMessage) receive(t *rapid.T, d *Deduplicator[string], arrival Arrival) {
	t.Helper()
	decision, _ := d.Receive(0, arrival)
	want := Process
	switch {
	case m.inFlight:
		want = Join
	case m.confirmed:
		want = AlreadyReplied
	case m.replied:
		want = ResendReply
	case m.requeued: // peers do not execute it either, once it is redelivered
	case arrival.Redelivered && !arrival.Idempotent:
		want = Uncertain
	}
	if decision != want {
		t.Fatalf("%s: decision %d, want %d for %+v", arrival.ID, decision, want, m)
	}
	if decision == Process || decision == Uncertain || decision == Join {
		m.inFlight, m.returned, m.requeued = true, false, false
		m.tags[arrival.Tag] = true
	}
}

func (m *modelMessage) reply(t *rapid.T, d *Deduplicator[string], id MessageID) {
	t.Helper()
	tags := d.MarkReplied(0, id, "reply")
	if len(tags) != len(m.tags) {
		t.Fatalf("%s: deliveries to settle %v, want %v", id, tags, m.tags)
	}
	m.inFlight, m.replied, m.tags = false, true, map[Tag]bool{}
}

// The number and the age of the remembered messages are limited.
func Example_deduplicatorBounds() {
	d := NewDeduplicator[any](100, time.Minute)
	for i := range 10_000 {
		id := MessageID(fmt.Sprint(i))
		tag := Tag{ChannelID: 1, Number: uint64(i)}
		d.Receive(time.Duration(i), Arrival{ID: id, Tag: tag, Idempotent: true})
		d.MarkReplied(time.Duration(i), id, nil)
	}
	inFlight := 0
	for _, r := range d.records {
		if r.state == stateInFlight {
			inFlight++
		}
	}
	fmt.Println(d.Len() <= 101, inFlight)
	d.Receive(time.Hour, Arrival{ID: "new", Idempotent: true})
	fmt.Println(d.Len())
	// Output:
	// true 0
	// 1
}

// TestRecognizedAfterReturn guards against a false IDConflict and a later deadline: a message is recognized whatever
// the broker has removed from it, and keeps the deadline with which it was read first.
func TestRecognizedAfterReturn(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	stated := Arrival{ID: "m", Content: Content{Digest: 1, WithoutExpiration: 2},
		Deadline: Deadline{At: at(5), Source: FromExpiration}}
	plain := Arrival{ID: "m", Content: Content{Digest: 2, WithoutExpiration: 2}, Deadline: Deadline{At: at(30)}}
	untimed := plain
	untimed.Deadline.Source = NotStated
	dead := Arrival{ID: "m", Content: Content{Digest: 2, WithoutExpiration: 2, ExpirationUnknown: true},
		Deadline: Deadline{At: at(9), Source: NotStated}}
	restored := stated
	restored.Deadline.Source = NotStated
	untimedLater := untimed
	untimedLater.Deadline.At = at(40)
	otherBody := Arrival{ID: "m", Content: Content{Digest: 8, WithoutExpiration: 8, ExpirationUnknown: true}}
	otherExpiration := Arrival{ID: "m", Content: Content{Digest: 9, WithoutExpiration: 2}}
	for _, tc := range []struct {
		name          string
		first, second Arrival
		want          Decision
		deadline      Deadline
	}{
		{"expiration removed", stated, dead, Process, Deadline{At: at(5), Source: NotStated}},
		{"expiration restored", stated, restored, Process, Deadline{At: at(5), Source: NotStated}},
		{"requeued", stated, stated, Process, stated.Deadline},
		{"never had an expiration", plain, dead, Process, plain.Deadline},
		{"without a timestamp", untimed, untimedLater, Process, untimed.Deadline},
		{"removed before it was read", dead, dead, Process, dead.Deadline},
		{"read before it was removed", dead, stated, Process, stated.Deadline},
		{"other content", stated, otherBody, IDConflict, stated.Deadline},
		{"other expiration", stated, otherExpiration, IDConflict, stated.Deadline},
	} {
		d := NewDeduplicator[any](10, time.Hour)
		d.Receive(0, tc.first)
		d.MarkReturned(0, "m", Reject)
		if got, _ := d.Receive(0, tc.second); got != tc.want {
			t.Errorf("%s: decision %d, want %d", tc.name, got, tc.want)
		}
		if got := d.Deadline("m"); got != tc.deadline {
			t.Errorf("%s: deadline %+v, want %+v", tc.name, got, tc.deadline)
		}
	}
}
