// Package delivery decides how many messages to consume from each queue and how to settle each message. It does no I/O:
// the time and random numbers are arguments. Nothing in it is safe for concurrent use; one event loop owns all of it.
package delivery

import (
	"time"

	"lanewheel/internal/frontend"
)

// UpdateInterval is the time between calls of FlowController.Update. Several updates fit into any latency objective.
const UpdateInterval = 100 * time.Millisecond

const (
	// windowDecreaseFactor multiplies the window after an interval in which the server was overloaded. With 0.7 the
	// consumer gives way to other callers within half a second.
	windowDecreaseFactor = 0.7
	// windowUsedFraction is the fraction of the window that must be in flight before the window grows.
	windowUsedFraction = 0.8
	// overloadedQueuePerCore is how many requests per core may be queued at the server before the window shrinks.
	overloadedQueuePerCore = 2
	// growthQueuePerCore is how many requests per core may be queued at the server while the window grows.
	growthQueuePerCore = 1
)

// PauseReason is the reason why consuming is paused on all queues.
type PauseReason int

// The pause reasons.
const (
	NotPaused         PauseReason = iota
	PausedDraining                // the instance is draining
	PausedRuntimeDown             // the server's runtime is not ready
	PausedBlocked                 // the broker has blocked publishing, so no replies can be sent
	PausedMemory                  // the server has no memory for further requests
)

// String returns the reason as the status socket reports it. It is empty for NotPaused.
func (r PauseReason) String() string {
	switch r {
	case NotPaused:
		return ""
	case PausedDraining:
		return "leaving"
	case PausedRuntimeDown:
		return "runtime-down"
	case PausedBlocked:
		return "blocked"
	case PausedMemory:
		return "memory"
	}
	return "unknown"
}

// FlowController decides how many messages of each queue may be in flight. It must be used by one goroutine only.
type FlowController struct {
	queues      []*queue
	maxInFlight int           // maximum number of messages in flight over all queues
	window      float64       // messages that may be in flight now, over all queues, besides those that wait
	updatedAt   time.Duration // time of the last update, if updated is true
	updated     bool          // Update has computed the limits at least once
	rejected    int           // messages rejected by the server since the last Update
	pauseReason PauseReason
}

// NewFlowController returns a controller for the queues that allows at most maxInFlight messages over all queues.
func NewFlowController(queues []Queue, maxInFlight int) *FlowController {
	c := &FlowController{maxInFlight: max(1, maxInFlight)}
	for _, config := range queues {
		c.queues = append(c.queues, &queue{Queue: config, mode: modeOpen})
	}
	c.window = float64(c.minInFlight())
	return c
}

// minInFlight returns the sum of the queues' minimums, but at least 1. Overload does not shrink the window below it; a
// lack of free capacity may.
func (c *FlowController) minInFlight() (sum int) {
	for _, q := range c.queues {
		sum += max(0, q.MinInFlight)
	}
	return max(1, sum)
}

func (c *FlowController) lookup(name QueueName) *queue {
	for _, q := range c.queues {
		if q.Name == name {
			return q
		}
	}
	return nil
}

// RecordDelivery counts a delivery from the queue as in flight.
func (c *FlowController) RecordDelivery(name QueueName) {
	if q := c.lookup(name); q != nil {
		q.inFlight++
	}
}

// RecordSettlement counts a delivery from the queue as no longer in flight.
func (c *FlowController) RecordSettlement(name QueueName) {
	if q := c.lookup(name); q != nil && q.inFlight > 0 {
		q.inFlight--
	}
}

// ResetInFlight records that the queue's channel has closed and that the broker took back all its deliveries.
func (c *FlowController) ResetInFlight(name QueueName) {
	if q := c.lookup(name); q != nil {
		q.inFlight = 0
		q.waiting = 0
	}
}

// RecordWaiting records that a message of the queue stays in flight while it waits for its retry outside the window: it
// takes nothing of the server, and further messages must not wait for it unread.
func (c *FlowController) RecordWaiting(name QueueName) {
	if q := c.lookup(name); q != nil {
		q.waiting++
	}
}

// RecordWaited records the end of a wait that RecordWaiting has recorded.
func (c *FlowController) RecordWaited(name QueueName) {
	if q := c.lookup(name); q != nil && q.waiting > 0 {
		q.waiting--
	}
}

// RecordRejection records that the server had no capacity for a message.
func (c *FlowController) RecordRejection() { c.rejected++ }

// RecordOutcome records that a message of the queue was executed, and whether it failed.
func (c *FlowController) RecordOutcome(now time.Duration, name QueueName, failed bool) {
	if q := c.lookup(name); q != nil {
		q.recordOutcome(now, failed)
	}
}

// TotalInFlight returns the number of messages in flight over all queues.
func (c *FlowController) TotalInFlight() (sum int) {
	for _, q := range c.queues {
		sum += q.inFlight
	}
	return sum
}

// InFlight returns the number of messages of the queue that are in flight.
func (c *FlowController) InFlight(name QueueName) int {
	if q := c.lookup(name); q != nil {
		return q.inFlight
	}
	return 0
}

// totalWaiting returns the number of messages that wait for their retry, over all queues.
func (c *FlowController) totalWaiting() (sum int) {
	for _, q := range c.queues {
		sum += q.waiting
	}
	return sum
}

// Window returns how many messages may be in flight over all queues, besides those that wait for their retry.
func (c *FlowController) Window() int { return int(c.window) }

// PauseReason returns the reason why consuming is paused, or NotPaused.
func (c *FlowController) PauseReason() PauseReason { return c.pauseReason }

// Limit returns how many messages of the queue may be in flight, with those that wait for their retry. A queue with
// limit 0 is not consumed.
func (c *FlowController) Limit(name QueueName) int {
	q := c.lookup(name)
	if q == nil || q.limit == 0 {
		return 0
	}
	return max(q.limit, min(q.limit+q.waiting, q.MaxInFlight))
}

// State returns the pause reason and the mode of the queue.
func (c *FlowController) State(name QueueName) QueueState {
	q := c.lookup(name)
	if q == nil {
		return QueueState{}
	}
	return QueueState{pause: c.pauseReason, mode: q.mode}
}

// Update recomputes the limits, unless the last update is less than half of UpdateInterval ago. blocked reports whether
// the broker has blocked publishing. A saturated instance leaves messages in the queue for its peers and keeps its
// capacity for callers that wait on a connection: the window shrinks while the server rejects messages, is not healthy,
// or queues more requests than its cores can soon run. It grows by the number of cores while it is used and the server
// is not busy.
func (c *FlowController) Update(now time.Duration, load frontend.Load, blocked bool) {
	rejected := c.rejected
	c.rejected = 0
	if c.updated && now-c.updatedAt < UpdateInterval/2 {
		return
	}
	c.updatedAt = now
	c.updated = true
	c.pauseReason = pauseReason(load, blocked)
	if c.pauseReason != NotPaused {
		c.pause()
		return
	}
	c.resizeWindow(load, rejected)
	c.divideWindow(now)
}

func pauseReason(load frontend.Load, blocked bool) PauseReason {
	switch {
	case load.Draining:
		return PausedDraining
	case !load.Ready:
		return PausedRuntimeDown
	case blocked:
		return PausedBlocked
	case load.FreeCapacity <= 0:
		return PausedMemory
	}
	return NotPaused
}

// pause sets the limits of all queues to 0. It also resets the window, so that an instance that starts cold after the
// pause does not receive as many messages at once as before the pause.
func (c *FlowController) pause() {
	c.window = float64(c.minInFlight())
	for _, q := range c.queues {
		q.limit = 0
	}
}

// resizeWindow shrinks the window if the server is overloaded. It grows the window if the window is used and the
// server is not busy.
func (c *FlowController) resizeWindow(load frontend.Load, rejected int) {
	cores := max(1, load.Cores)
	queued := float64(load.Queued)
	minWindow := float64(c.minInFlight())
	waiting := c.totalWaiting()
	inFlight := max(0, c.TotalInFlight()-waiting)
	c.window = max(c.window, minWindow) // a lack of capacity may have reduced it below the minimum
	switch {
	case rejected > 0, !load.Healthy, queued > overloadedQueuePerCore*cores:
		c.window = max(minWindow, c.window*windowDecreaseFactor)
	case float64(inFlight) >= windowUsedFraction*c.window && queued <= growthQueuePerCore*cores:
		c.window += cores
	}
	c.window = min(c.window, float64(min(c.maxInFlight-waiting, inFlight+load.FreeCapacity)))
}
