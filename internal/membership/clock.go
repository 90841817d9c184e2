package membership

import (
	"time"
)

// judgementClock is the time by which others are judged: it stands still while we can't judge, so no deadline of theirs runs out by our
// own fault. Danger: one that was paused, starved or cut off declares the whole fleet gone on waking.
func (t *Table) judgementClock(now time.Duration) time.Duration {
	if t.pausedSince >= 0 {
		now = t.pausedSince
	}
	return now - t.pausedTotal
}
