package admission

import "time"

const (
	// minKillMargin and killMarginShare, a divisor of the whole drain, are how long before the kill everything is
	// answered: the process may stand still in between, or did when it was notified; a long drain can spare the time.
	minKillMargin   = 150 * time.Millisecond
	killMarginDivisor = 12
)

// drainState is the notice to drain.
type drainState struct {
	notified   bool
	notifiedAt time.Duration
	killAt     time.Duration
}

// Drain takes the notice that the instance will be killed at the time given. It is followed by Decide.
func (c *Controller) Drain(killAt time.Duration) {
	c.drain = drainState{notified: true, notifiedAt: c.executor.Now(), killAt: killAt}
}

// latestAnswerAt is when everything is answered before the kill.
func (d *drainState) latestAnswerAt() time.Duration {
	return d.killAt - max(minKillMargin, (d.killAt-d.notifiedAt)/killMarginDivisor)
}

// rejectWhileDraining rejects a queued request that came after the grace, or whose run the kill would cut off.
func (c *Controller) rejectWhileDraining(r *trackedRequest, now time.Duration) {
	cutoff := c.drain.notifiedAt + c.settings.DrainGrace - answerMarginTicks*c.settings.Tick
	if r.arrivedAt > cutoff || c.estimatedRunTime(r, len(c.requests.running), now) > c.remainingTime(r, now) {
		c.reject(r)
	}
}
