package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// fenceNotifiers is how many tell an old life that it is over; the word may be lost on the way.
const fenceNotifiers = 2

// ShouldNotifyFenced tells whether it is on us to say so to an old life: few do, the same ones by every view, and not all the time.
func (t *Table) ShouldNotifyFenced(id ID, now time.Duration) bool {
	if notifiedAt, notified := t.fenceNotices[id]; notified && now-notifiedAt < t.config.SettleTime {
		return false
	}
	ownHash, lowerHashes := xxhash.Sum64String(string(t.self.Name)+"\x00"+id.String()), 0
	for m := range t.view.All() {
		if m.State.Available() && xxhash.Sum64String(string(m.Name)+"\x00"+id.String()) < ownHash {
			if lowerHashes++; lowerHashes >= fenceNotifiers {
				return false
			}
		}
	}
	t.fenceNotices[id] = now
	return true
}
