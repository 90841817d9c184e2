package membership

import "time"

// pausableClock measures the time that counts towards the deadlines of other members. It is paused while this process
// may not declare members gone, so that no member times out because of a local fault. Without it, a process that was
// suspended, starved of CPU or cut off from the network would declare the whole fleet gone as soon as it resumes.
type pausableClock struct {
	paused      bool
	pausedSince time.Duration // on the local clock; valid while paused
	pausedTotal time.Duration // total duration of earlier pauses and skipped stalls
}

// at converts a time on the local clock to this clock. now must not be earlier than the last pause.
func (c *pausableClock) at(now time.Duration) time.Duration {
	if c.paused {
		now = c.pausedSince
	}
	return now - c.pausedTotal
}

// skip excludes a stall of this process. During a pause, the stall is excluded already.
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
