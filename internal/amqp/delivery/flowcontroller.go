// Package delivery decides how many messages are taken from which queue, and what becomes of one. It is pure: values in,
// values out; the time and chance are arguments.
package delivery

import (
	"cmp"
	"slices"
	"time"

	"lanewheel/internal/frontend"
)

// FlowController decides the intake. It belongs to one goroutine.
type FlowController struct {
	queues      []*queue
	maxInFlight int     // messages in hand over all queues
	window      float64 // as many as it lets in now
	updatedAt   time.Duration
	updated     bool
	rejected    int // since the last look, by the module, for want of room
	load        frontend.Load
	pauseReason string // why nothing is taken, empty if something is
}

// Constants of the control.
const (
	// UpdateInterval is how often Look is called: some times within any target latency.
	UpdateInterval = 100 * time.Millisecond
	// Down is what is left of the level after a look in which the module had no room: sharp enough to be out of the way
	// within half a second.
	decreaseFactor = 0.7
	// First and longest wait between two probes of a queue whose messages fail.
	initialProbeBackoff, maxProbeBackoff = time.Second, 30 * time.Second
	// A queue fails if half of its last ops did, and it had enough of them to tell.
	failureThreshold, minOutcomes = 0.5, 8
)

// NewFlowController opens with the queues told and a bound on messages in hand.
func NewFlowController(queues []Queue, maxInFlight int) *FlowController {
	flow := &FlowController{maxInFlight: max(1, maxInFlight)}
	for _, config := range queues {
		flow.queues = append(flow.queues, &queue{Queue: config})
	}
	flow.window = float64(flow.minInFlight())
	return flow
}

func (d *FlowController) minInFlight() (sum int) {
	for _, q := range d.queues {
		sum += max(0, q.MinInFlight)
	}
	return max(1, sum)
}

func (d *FlowController) lookup(name QueueName) *queue {
	for _, q := range d.queues {
		if q.Name == name {
			return q
		}
	}
	return nil
}

// Received counts a delivery; Settled one that is no longer in hand.
func (d *FlowController) Received(name QueueName) {
	if q := d.lookup(name); q != nil {
		q.inFlight++
	}
}

func (d *FlowController) Settled(name QueueName) {
	if q := d.lookup(name); q != nil && q.inFlight > 0 {
		q.inFlight--
	}
}

// Disconnected tells that all deliveries of a queue went back with their connection.
func (d *FlowController) Disconnected(name QueueName) {
	if q := d.lookup(name); q != nil {
		q.inFlight = 0
	}
}

// Rejected tells that the module had no room for a message. Ended tells how a run of one came out.
func (d *FlowController) Rejected() { d.rejected++ }

func (d *FlowController) Finished(now time.Duration, name QueueName, failed bool) {
	q := d.lookup(name)
	if q == nil {
		return
	}
	q.failures[q.finished%len(q.failures)] = failed
	q.finished++
	switch {
	case q.mode == modeOpen && q.isFailing():
		q.mode, q.probeBackoff = modeProbing, initialProbeBackoff
		q.nextProbe = now + q.probeBackoff
	case q.mode == modeProbing && failed:
		q.probeBackoff = min(2*q.probeBackoff, maxProbeBackoff)
		q.nextProbe = now + q.probeBackoff
	case q.mode == modeProbing:
		q.mode, q.recoveryLimit = modeRecovering, 1
		q.finished = 0
	case q.mode == modeRecovering && failed:
		q.mode, q.probeBackoff = modeProbing, min(2*q.probeBackoff, maxProbeBackoff)
		q.nextProbe = now + q.probeBackoff
	case q.mode == modeRecovering:
		if q.recoveryLimit++; q.recoveryLimit > max(q.MinInFlight, minOutcomes) {
			q.mode, q.finished, q.probeBackoff = modeOpen, 0, 0
		}
	}
}

// TotalInFlight is how many messages are in hand over all queues.
func (d *FlowController) TotalInFlight() (sum int) {
	for _, q := range d.queues {
		sum += q.inFlight
	}
	return sum
}

// InFlight is how many messages of a queue are in hand; Level how many over all queues it lets in.
func (d *FlowController) InFlight(name QueueName) int {
	if q := d.lookup(name); q != nil {
		return q.inFlight
	}
	return 0
}

func (d *FlowController) Window() int { return int(d.window) }

// PauseReason is why nothing is taken, empty if something is.
func (d *FlowController) PauseReason() string { return d.pauseReason }

// Update works out the limits anew. blocked tells that answers can't leave. Saturated, an instance leaves messages in the queue for
// its peers and keeps its room for callers who wait on a connection: the level falls while the module turns messages away or
// holds more ops than it has cores, and rises, by as many as there are cores, only while what it lets in is used.
func (d *FlowController) Update(now time.Duration, load frontend.Load, blocked bool) {
	d.load = load
	rejected := d.rejected
	d.rejected = 0
	if d.updated && now-d.updatedAt < UpdateInterval/2 {
		return
	}
	d.updatedAt, d.updated = now, true
	d.pauseReason = ""
	switch {
	case load.Draining:
		d.pauseReason = "leaving"
	case !load.Ready:
		d.pauseReason = "runtime-down"
	case blocked:
		d.pauseReason = "blocked"
	case load.FreeCapacity <= 0:
		d.pauseReason = "memory"
	}
	if d.pauseReason != "" {
		// Danger: coming back with all that was let in before, into an instance that starts cold.
		d.window = float64(d.minInFlight())
		for _, q := range d.queues {
			q.limit = 0
		}
		return
	}
	cores := max(1, load.Cores)
	d.window = max(d.window, float64(d.minInFlight())) // room that was short may be back
	switch {
	case rejected > 0, !load.Healthy, float64(load.Queued) > 2*cores:
		d.window = max(float64(d.minInFlight()), d.window*decreaseFactor)
	case float64(d.TotalInFlight()) >= 0.8*d.window && float64(load.Queued) <= cores:
		d.window += cores
	}
	d.window = min(d.window, float64(min(d.maxInFlight, d.TotalInFlight()+load.FreeCapacity)))
	d.divide(now)
}

// divide divides the level: floors first, then the higher priority before the lower, by weight within one, and never more than
// a queue can use.
func (d *FlowController) divide(now time.Duration) {
	remaining := int(d.window)
	byPriority := slices.Clone(d.queues)
	slices.SortStableFunc(byPriority, func(a, b *queue) int { return cmp.Compare(b.Priority, a.Priority) })
	for _, q := range byPriority {
		q.limit = min(q.MinInFlight, q.ceiling(now), max(remaining, 0))
		remaining -= q.limit
	}
	for i := 0; i < len(byPriority) && remaining > 0; {
		j := i
		for j < len(byPriority) && byPriority[j].Priority == byPriority[i].Priority {
			j++
		}
		remaining = fillByWeight(byPriority[i:j], remaining, now)
		i = j
	}
	for _, q := range d.queues {
		if q.mode == modeProbing && now >= q.nextProbe && q.inFlight == 0 {
			q.limit = 1
		}
	}
}

// Limit is how many messages of a queue may be in hand; none means that consuming stops.
func (d *FlowController) Limit(name QueueName) int {
	if q := d.lookup(name); q != nil {
		return q.limit
	}
	return 0
}

// State tells how a queue is treated, in one word.
func (d *FlowController) State(name QueueName) string {
	q := d.lookup(name)
	switch {
	case q == nil:
		return "unknown"
	case d.pauseReason != "":
		return d.pauseReason
	}
	return [...]string{"open", "probing", "coming"}[q.mode]
}
