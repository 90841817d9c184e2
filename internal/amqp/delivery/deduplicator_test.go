package delivery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The memory against a list of all that ever happened: nothing runs twice that must not, what runs is not run beside itself, what
// was answered and confirmed is not answered again, and the tags in hand are those of connections that stand.
func TestDeduplicator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewDeduplicator(1000, time.Hour)
		type truth struct {
			running, answered, sure, put, ever bool
			tags                               map[DeliveryTag]bool
		}
		all := map[MessageID]*truth{}
		tag, conn := uint64(0), uint64(1)
		for range 60 {
			id := MessageID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			x := all[id]
			if x == nil {
				x = &truth{tags: map[DeliveryTag]bool{}}
				all[id] = x
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				tag++
				here := DeliveryTag{conn, tag}
				redelivered, twice := rapid.Bool().Draw(t, "redelivered"), rapid.Bool().Draw(t, "twice")
				step, _ := m.Receive(0, id, 7, here, redelivered, twice)
				want := Process
				switch {
				case x.running:
					want = Join
				case x.sure:
					want = AlreadyReplied
				case x.answered:
					want = ResendReply
				case x.put:
				case !x.ever && redelivered && !twice:
					want = Uncertain
				}
				if step != want {
					t.Fatalf("%s: step %d, want %d of %+v", id, step, want, x)
				}
				if step == Process || step == Uncertain || step == Join {
					x.running, x.ever, x.put = true, true, false
					x.tags[here] = true
				}
			case 2:
				if x.running {
					tags := m.Replied(0, id, "answer")
					if len(tags) != len(x.tags) {
						t.Fatalf("%s: %v in hand, want %v", id, tags, x.tags)
					}
					x.running, x.answered, x.tags = false, true, map[DeliveryTag]bool{}
				}
			case 3:
				if x.running && rapid.Bool().Draw(t, "put back") {
					m.Returned(0, id)
					x.running, x.put, x.tags = false, true, map[DeliveryTag]bool{}
				} else if x.answered {
					m.ReplyConfirmed(id)
					x.sure = true
				}
			case 4:
				m.ChannelClosed(conn)
				conn++
				for _, x := range all {
					clear(x.tags)
				}
			}
		}
	})
}

// What is remembered has a bound in count and in age.
func Example_deduplicatorBounds() {
	m := NewDeduplicator(100, time.Minute)
	for i := range 10_000 {
		id := MessageID(fmt.Sprint(i))
		m.Receive(time.Duration(i), id, 0, DeliveryTag{1, uint64(i)}, false, true)
		m.Replied(time.Duration(i), id, nil)
	}
	fmt.Println(m.Len() <= 101, m.inFlightCount())
	m.Receive(time.Hour, "new", 0, DeliveryTag{}, false, true)
	fmt.Println(m.Len())
	// Output:
	// true 0
	// 1
}
