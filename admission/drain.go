package admission

import "time"

const (
	// All requests are answered before the kill by a margin: minKillMargin, or the duration of the whole drain
	// divided by killMarginDivisor if that is longer. The process may be suspended during the drain, or may have
	// been when it was notified. A long drain has time for a longer margin.
	minKillMargin     = 150 * time.Millisecond
	killMarginDivisor = 12
)

// drainState records the notice to drain.
type drainState struct {
	notified   bool
	notifiedAt time.Duration
	killAt     time.Duration
}

// Drain records the notice that the instance will be killed at the given time. Decide must be called afterwards.
func (c *Controller) Drain(killAt time.Duration) {
	c.drain = drainState{notified: true, notifiedAt: c.executor.Now(), killAt: killAt}
}

// latestAnswerAt returns the time by which all requests must be answered, ahead of the kill.
func (d *drainState) latestAnswerAt() time.Duration {
	return d.killAt - max(minKillMargin, (d.killAt-d.notifiedAt)/killMarginDivisor)
}

// rejectWhileDraining rejects a queued request that arrived later than answerMarginTicks before the end of the grace,
// or whose estimated run time is longer than its remaining time, which ends before the kill.
func (c *Controller) rejectWhileDraining(r *trackedRequest, now time.Duration) {
	cutoff := c.drain.notifiedAt + c.settings.DrainGrace - answerMarginTicks*c.settings.Tick
	if r.arrivedAt > cutoff || c.estimatedRunTime(r, len(c.requests.running), now) > c.remainingTime(r, now) {
		c.reject(r)
	}
}
