package delivery

import (
	"testing"

	"pgregory.net/rapid"
)

// A random sequence of events: an ack covers only marked deliveries, and Flush acks every marked delivery.
func TestAckTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker AckTracker
		state := map[uint64]string{} // open, done, acked or removed, by tag
		tag := uint64(0)
		for range 80 {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				tag++
				tracker.AddDelivery(tag)
				state[tag] = "open"
			case 1, 2:
				settled := uint64(rapid.IntRange(1, 80).Draw(t, "tag"))
				if state[settled] != "open" {
					continue
				}
				if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
					tracker.Remove(settled)
					state[settled] = "removed"
				} else {
					tracker.MarkAcked(settled)
					state[settled] = "done"
				}
			case 3:
				checkFlush(t, &tracker, state)
			}
		}
	})
}

func checkFlush(t *rapid.T, tracker *AckTracker, state map[uint64]string) {
	t.Helper()
	for _, ack := range tracker.Flush() {
		if state[ack.Tag] != "done" {
			t.Fatalf("delivery %d is acked in state %s, want done", ack.Tag, state[ack.Tag])
		}
		first := ack.Tag
		if ack.Multiple {
			first = 1
		}
		for covered := first; covered <= ack.Tag; covered++ {
			switch state[covered] {
			case "open":
				t.Fatalf("the ack of delivery %d covers delivery %d, which is not done", ack.Tag, covered)
			case "done":
				state[covered] = "acked"
			}
		}
	}
	for tag, tagState := range state {
		if tagState == "done" {
			t.Fatalf("delivery %d is done but was not acked", tag)
		}
	}
}
