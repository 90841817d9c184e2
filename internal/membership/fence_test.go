package membership

import "testing"

// An outdated process is notified by exactly two members: each member selects the same two from its own table. A
// notifier does not repeat its notice within the settle time.
func TestFenceNotifiers(t *testing.T) {
	names := []Name{"a", "b", "c", "d", "e", "f", "g"}
	for bootID := range BootID(50) {
		outdated := ID{"x", bootID}
		notifiers := 0
		for _, self := range names {
			table := tableOf(self, names)
			if !table.ShouldNotifyFenced(outdated, 0) {
				continue
			}
			notifiers++
			if table.ShouldNotifyFenced(outdated, s) {
				t.Fatal("notified again within the settle time")
			}
		}
		if notifiers != fenceNotifiers {
			t.Fatalf("%v is notified by %d members, want %d", outdated, notifiers, fenceNotifiers)
		}
	}
}

// tableOf returns the table of the member self, in which the other members of names are up.
func tableOf(self Name, names []Name) *Table {
	table := NewTable(Descriptor{Name: self, BootID: 7, Incarnation: 1}, DefaultConfig(), 0)
	for _, name := range names {
		if name != self {
			table.HandleAlive(Descriptor{Name: name, BootID: 7, Incarnation: 1}, 0)
			table.HandleHeartbeat(Heartbeat{ID: ID{name, 7}, Sequence: 1, Ready: true, ReadyFor: s}, 0, 0)
		}
	}
	return table
}
