// Package delivery decides how many messages are taken from which queue, and what becomes of each. It does no I/O:
// the time and random numbers are arguments. Nothing in it is safe for concurrent use; one event loop owns it all.
package delivery

import (
	"time"

	"lanewheel/internal/frontend"
)

// UpdateInterval is how often FlowController.Update is called: some times within any latency objective.
const UpdateInterval = 100 * time.Millisecond

const (
	// windowDecreaseFactor is what is left of the window after an interval in which the server was overloaded: the
	// consumer is out of the way within half a second.
	windowDecreaseFactor = 0.7
	// windowUsedFraction of the window has to be in flight before it grows.
	windowUsedFraction = 0.8
	// overloadedQueuePerCore is how many requests may be queued at the server, for each core, before the window shrinks.
	overloadedQueuePerCore = 2
	// growthQueuePerCore is how many may be queued, for each core, while the window grows.
	growthQueuePerCore = 1
)

// PauseReason is why nothing is taken from any queue.
type PauseReason int

// The pause reasons.
const (
	NotPaused         PauseReason = iota
	PausedDraining                // the instance drains
	PausedRuntimeDown             // the server has no runtime
	PausedBlocked                 // the broker accepts no replies
	PausedMemory                  // the server has no memory for further requests
)

// String returns the reason as the status socket names it, empty for NotPaused.
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

// FlowController decides how many messages of each queue may be in flight. It belongs to one goroutine.
type FlowController struct {
	queues      []*queue
	maxInFlight int     // messages in flight over all queues
	window      float64 // messages that may be in flight now, over all queues
	updatedAt   time.Duration
	updated     bool
	rejected    int // messages that the server rejected since the last update
	pauseReason PauseReason
}

// NewFlowController returns a controller for the queues, with at most maxInFlight messages in flight over all.
func NewFlowController(queues []Queue, maxInFlight int) *FlowController {
	c := &FlowController{maxInFlight: max(1, maxInFlight)}
	for _, config := range queues {
		c.queues = append(c.queues, &queue{Queue: config, mode: modeOpen})
	}
	c.window = float64(c.minInFlight())
	return c
}

// minInFlight is what the queues may have in flight however busy the server is.
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

// Received counts a delivery from the queue as in flight.
func (c *FlowController) Received(name QueueName) {
	if q := c.lookup(name); q != nil {
		q.inFlight++
	}
}

// Settled counts a delivery from the queue as no longer in flight.
func (c *FlowController) Settled(name QueueName) {
	if q := c.lookup(name); q != nil && q.inFlight > 0 {
		q.inFlight--
	}
}

// Disconnected says that all deliveries of the queue went back to the broker with their channel.
func (c *FlowController) Disconnected(name QueueName) {
	if q := c.lookup(name); q != nil {
		q.inFlight = 0
	}
}

// Rejected says that the server had no capacity for a message.
func (c *FlowController) Rejected() { c.rejected++ }

// Finished says that a message of the queue was executed, and whether that failed.
func (c *FlowController) Finished(now time.Duration, name QueueName, failed bool) {
	if q := c.lookup(name); q != nil {
		q.finish(now, failed)
	}
}

// TotalInFlight is how many messages are in flight over all queues.
func (c *FlowController) TotalInFlight() (sum int) {
	for _, q := range c.queues {
		sum += q.inFlight
	}
	return sum
}

// InFlight is how many messages of the queue are in flight.
func (c *FlowController) InFlight(name QueueName) int {
	if q := c.lookup(name); q != nil {
		return q.inFlight
	}
	return 0
}

// Window is how many messages may be in flight over all queues.
func (c *FlowController) Window() int { return int(c.window) }

// PauseReason is why nothing is taken, NotPaused if something may be.
func (c *FlowController) PauseReason() PauseReason { return c.pauseReason }

// Limit is how many messages of the queue may be in flight. At 0 it is not consumed from.
func (c *FlowController) Limit(name QueueName) int {
	if q := c.lookup(name); q != nil {
		return q.limit
	}
	return 0
}

// State says how the queue is treated.
func (c *FlowController) State(name QueueName) QueueState {
	q := c.lookup(name)
	if q == nil {
		return QueueState{}
	}
	return QueueState{pause: c.pauseReason, mode: q.mode}
}

// Update computes the limits anew; blocked says that the broker accepts no replies. A saturated instance leaves
// messages in the queue for its peers and keeps its capacity for callers who wait on a connection: the window shrinks
// while the server rejects messages or queues more requests than its cores can soon run, and grows, by the number of
// cores, only while it is used.
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

// pause closes all queues. The window is reset, so that after the pause an instance that starts cold does not get at
// once all that it had before.
func (c *FlowController) pause() {
	c.window = float64(c.minInFlight())
	for _, q := range c.queues {
		q.limit = 0
	}
}

// resizeWindow shrinks the window if the server is overloaded, and grows it if it is used and the server is not busy.
func (c *FlowController) resizeWindow(load frontend.Load, rejected int) {
	cores := max(1, load.Cores)
	queued := float64(load.Queued)
	lowest := float64(c.minInFlight())
	inFlight := c.TotalInFlight()
	c.window = max(c.window, lowest) // a lack of capacity may have pushed it under the minimum
	switch {
	case rejected > 0, !load.Healthy, queued > overloadedQueuePerCore*cores:
		c.window = max(lowest, c.window*windowDecreaseFactor)
	case float64(inFlight) >= windowUsedFraction*c.window && queued <= growthQueuePerCore*cores:
		c.window += cores
	}
	c.window = min(c.window, float64(min(c.maxInFlight, inFlight+load.FreeCapacity)))
}
