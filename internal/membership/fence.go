package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// fenceNotifiers is the number of members that notify an outdated process. It is above 1 because a notice may be lost.
const fenceNotifiers = 2

// fenceNotices holds, for each outdated process, when this process last notified it that it is fenced.
type fenceNotices map[ID]time.Duration

// expire deletes the notices that are older than retention.
func (n fenceNotices) expire(now, retention time.Duration) {
	for id, notifiedAt := range n {
		if now-notifiedAt > retention {
			delete(n, id)
		}
	}
}

// ShouldNotifyFenced reports whether this process must notify an outdated process that it is fenced. Only
// fenceNotifiers members notify it, and all members with the same view select the same ones. A notice is not repeated
// within the settle time. A call that returns true is recorded as a notice.
func (t *Table) ShouldNotifyFenced(id ID, now time.Duration) bool {
	if notifiedAt, notified := t.fenceNotices[id]; notified && now-notifiedAt < t.config.SettleTime {
		return false
	}
	ownRank := notifierRank(t.self.Name, id)
	membersAhead := 0
	for member := range t.view.All() {
		if member.State.Available() && notifierRank(member.Name, id) < ownRank {
			membersAhead++
		}
		if membersAhead >= fenceNotifiers {
			return false
		}
	}
	t.fenceNotices[id] = now
	return true
}

// notifierRank returns the rank of a member among the possible notifiers of an outdated process. The members with the
// lowest ranks notify it.
func notifierRank(notifier Name, outdated ID) uint64 {
	return xxhash.Sum64String(string(notifier) + "\x00" + outdated.String())
}
