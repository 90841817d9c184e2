package membership

import "time"

// judgementClock is the clock for the deadlines of other members. It is paused while this process cannot judge them,
// so that no deadline expires because of a fault of this process. Without it, a process that was paused, starved or
// cut off would declare the whole fleet gone as soon as it resumed.
type judgementClock struct {
	paused      bool
	pausedSince time.Duration // by the local clock; valid while paused
	pausedTotal time.Duration // sum of all earlier pauses and stalls
}

// at converts a time of the local clock, which must not be earlier than the last pause, to the judgement clock.
func (c *judgementClock) at(now time.Duration) time.Duration {
	if c.paused {
		now = c.pausedSince
	}
	return now - c.pausedTotal
}

// skip excludes the duration of a stall of this process.
func (c *judgementClock) skip(stall time.Duration) {
	if !c.paused {
		c.pausedTotal += stall
	}
}

func (c *judgementClock) pause(now time.Duration) {
	if !c.paused {
		c.paused = true
		c.pausedSince = now
	}
}

func (c *judgementClock) resume(now time.Duration) {
	if c.paused {
		c.paused = false
		c.pausedTotal += now - c.pausedSince
	}
}
