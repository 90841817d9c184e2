package delivery

import (
	"testing"

	"pgregory.net/rapid"
)

// The acks of a channel against the deliveries themselves: one that covers several covers only what is done.
func TestAckTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a AckTracker
		state := map[uint64]string{} // open, done, acked, dropped
		tag := uint64(0)
		for range 80 {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				tag++
				a.Received(tag)
				state[tag] = "open"
			case 1, 2:
				if x := uint64(rapid.IntRange(1, 80).Draw(t, "tag")); state[x] == "open" {
					if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
						a.Remove(x)
						state[x] = "dropped"
					} else {
						a.Acked(x)
						state[x] = "done"
					}
				}
			case 3:
				for _, c := range a.Flush() {
					if state[c.Tag] != "done" {
						t.Fatalf("acks %d, which is %s", c.Tag, state[c.Tag])
					}
					for x := uint64(1); x <= c.Tag; x++ {
						if (c.Multiple || x == c.Tag) && state[x] == "open" {
							t.Fatalf("the ack of %d covers %d, which is not done", c.Tag, x)
						} else if (c.Multiple || x == c.Tag) && state[x] == "done" {
							state[x] = "acked"
						}
					}
				}
				for x, s := range state {
					if s == "done" {
						t.Fatalf("%d is done and not acked", x)
					}
				}
			}
		}
	})
}
