package membership

import (
	"testing"
)

// An old life is told by two of those that are here, by whoever's view.
func TestFenceNotifiers(t *testing.T) {
	names := []Name{"a", "b", "c", "d", "e", "f", "g"}
	for life := range BootID(50) {
		tell := 0
		for _, me := range names {
			told := NewTable(Descriptor{Name: me, BootID: 7, Incarnation: 1}, DefaultConfig(), 0)
			for _, n := range names {
				if n != me {
					told.HandleAlive(Descriptor{Name: n, BootID: 7, Incarnation: 1}, 0)
					told.HandleHeartbeat(Heartbeat{ID: ID{n, 7}, Sequence: 1, Ready: true, ReadyFor: s}, 0, 0)
				}
			}
			old := ID{"x", life}
			if told.ShouldNotifyFenced(old, 0) {
				tell++
				if told.ShouldNotifyFenced(old, s) {
					t.Fatal("told again at once")
				}
			}
		}
		if tell != fenceNotifiers {
			t.Fatal(life, tell)
		}
	}
}
