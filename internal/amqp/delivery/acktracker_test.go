package delivery

import (
	"testing"

	"pgregory.net/rapid"
)

// A random history of deliveries: an ack of several covers only what is done, and Flush leaves nothing done unacked.
func TestAckTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker AckTracker
		state := map[uint64]string{} // open, done, acked or removed, by tag
		tag := uint64(0)
		for range 80 {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				tag++
				tracker.Received(tag)
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
					tracker.Acked(settled)
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
			t.Fatalf("acks %d, which is %s", ack.Tag, state[ack.Tag])
		}
		first := ack.Tag
		if ack.Multiple {
			first = 1
		}
		for covered := first; covered <= ack.Tag; covered++ {
			switch state[covered] {
			case "open":
				t.Fatalf("the ack of %d covers %d, which is not done", ack.Tag, covered)
			case "done":
				state[covered] = "acked"
			}
		}
	}
	for tag, s := range state {
		if s == "done" {
			t.Fatalf("%d is done and not acked", tag)
		}
	}
}
