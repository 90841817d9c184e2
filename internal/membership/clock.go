package membership

import "time"

// judgementClock is the time by which other members are judged. It stands still while this process may not judge, so
// that no deadline of theirs runs out by our own fault: without it, a process that was paused, starved or cut off
// would declare the whole fleet gone as soon as it runs again.
type pausableClock struct {
	paused      bool
	pausedSince time.Duration // while paused, by our clock
	pausedTotal time.Duration // how long it stood still before
}

// at translates a time of ours, which must not be earlier than the last pause.
func (c *pausableClock) at(now time.Duration) time.Duration {
	if c.paused {
		now = c.pausedSince
	}
	return now - c.pausedTotal
}

// skip takes time out during which this process stood still.
func (c *pausableClock) skip(stall time.Duration) {
	if !c.paused {
		c.pausedTotal += stall
	}
}

func (c *pausableClock) pause(now time.Duration) {
	if !c.paused {
		c.paused = true
		c.pausedSince = now
	}
}

func (c *pausableClock) resume(now time.Duration) {
	if c.paused {
		c.paused = false
		c.pausedTotal += now - c.pausedSince
	}
}
