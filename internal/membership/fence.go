package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// fenceNotifiers is how many members notify an outdated process: a notice may be lost on the way.
const fenceNotifiers = 2

// fenceNotices is when which outdated process was last notified that it is fenced.
type fenceNotices map[ID]time.Duration

// expire drops those that are older than retention.
func (n fenceNotices) expire(now, retention time.Duration) {
	for id, notifiedAt := range n {
		if now-notifiedAt > retention {
			delete(n, id)
		}
	}
}

// ShouldNotifyFenced reports whether this process is to notify an outdated one: few are, the same ones by every view,
// and not again within the settle time. A call that reports true counts as a notice.
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

// notifierRank orders members by who is to notify an outdated process, the least first.
func notifierRank(notifier Name, outdated ID) uint64 {
	return xxhash.Sum64String(string(notifier) + "\x00" + outdated.String())
}
