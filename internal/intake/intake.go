// Package intake decides how many messages are taken from which queue, and what becomes of one. It is pure: values in,
// values out; the time and chance are arguments.
package intake

import (
	"cmp"
	"slices"
	"time"

	"lanewheel/internal/front"
)

// QueueName is a queue's name at the broker.
type QueueName string

// Queue is what is told of one.
type Queue struct {
	Name     QueueName
	Weight   float64 // its share beside others of the same priority
	Priority int     // the higher go first
	Floor    int     // messages that it may have in hand however busy the instance is, while it takes any
	Most     int     // messages that it may have in hand
}

// Desk decides the intake. It belongs to one goroutine.
type Desk struct {
	queues []*queue
	most   int     // messages in hand over all queues
	level  float64 // as many as it lets in now
	looked time.Duration
	began  bool
	nacked int // since the last look, by the module, for want of room
	load   front.Load
	closed string // why nothing is taken, empty if something is
}

type queue struct {
	Queue
	hand    int // taken and not settled
	limit   int
	probe   time.Duration // when one is let through again, while it fails
	backoff time.Duration
	grows   int       // what a queue that comes back may have in hand
	ends    [32]bool  // whether the last ops failed: some dozen show more than chance
	count   int       // of ends, ever
	state   queueMode // how it is treated
}

type queueMode int

const (
	open    queueMode = iota
	probing           // its messages fail: one at a time, ever more seldom
	coming            // a probe went well: a few, then more
)

// Constants of the control.
const (
	// Every is how often Look is called: some times within any target latency.
	Every = 100 * time.Millisecond
	// Down is what is left of the level after a look in which the module had no room: sharp enough to be out of the way
	// within half a second.
	down = 0.7
	// First and longest wait between two probes of a queue whose messages fail.
	firstProbe, longestProbe = time.Second, 30 * time.Second
	// A queue fails if half of its last ops did, and it had enough of them to tell.
	fails, enough = 0.5, 8
)

// NewDesk opens with the queues told and a bound on messages in hand.
func NewDesk(queues []Queue, most int) *Desk {
	d := &Desk{most: max(1, most)}
	for _, q := range queues {
		d.queues = append(d.queues, &queue{Queue: q})
	}
	d.level = float64(d.floors())
	return d
}

func (d *Desk) floors() (sum int) {
	for _, q := range d.queues {
		sum += max(0, q.Floor)
	}
	return max(1, sum)
}

func (d *Desk) of(name QueueName) *queue {
	for _, q := range d.queues {
		if q.Name == name {
			return q
		}
	}
	return nil
}

// Taken counts a delivery; Settled one that is no longer in hand.
func (d *Desk) Taken(name QueueName) {
	if q := d.of(name); q != nil {
		q.hand++
	}
}

func (d *Desk) Settled(name QueueName) {
	if q := d.of(name); q != nil && q.hand > 0 {
		q.hand--
	}
}

// Lost tells that all deliveries of a queue went back with their connection.
func (d *Desk) Lost(name QueueName) {
	if q := d.of(name); q != nil {
		q.hand = 0
	}
}

// Nacked tells that the module had no room for a message. Ended tells how a run of one came out.
func (d *Desk) Nacked() { d.nacked++ }

func (d *Desk) Ended(now time.Duration, name QueueName, failed bool) {
	q := d.of(name)
	if q == nil {
		return
	}
	q.ends[q.count%len(q.ends)] = failed
	q.count++
	switch {
	case q.state == open && q.failing():
		q.state, q.backoff = probing, firstProbe
		q.probe = now + q.backoff
	case q.state == probing && failed:
		q.backoff = min(2*q.backoff, longestProbe)
		q.probe = now + q.backoff
	case q.state == probing:
		q.state, q.grows = coming, 1
		q.count = 0
	case q.state == coming && failed:
		q.state, q.backoff = probing, min(2*q.backoff, longestProbe)
		q.probe = now + q.backoff
	case q.state == coming:
		if q.grows++; q.grows > max(q.Floor, enough) {
			q.state, q.count, q.backoff = open, 0, 0
		}
	}
}

func (q *queue) failing() bool {
	n := min(q.count, len(q.ends))
	bad := 0
	for _, failed := range q.ends[:n] {
		if failed {
			bad++
		}
	}
	return n >= enough && float64(bad) >= fails*float64(n)
}

// Hand is how many messages are in hand over all queues.
func (d *Desk) Hand() (sum int) {
	for _, q := range d.queues {
		sum += q.hand
	}
	return sum
}

// InHand is how many messages of a queue are in hand; Level how many over all queues it lets in.
func (d *Desk) InHand(name QueueName) int {
	if q := d.of(name); q != nil {
		return q.hand
	}
	return 0
}

func (d *Desk) Level() int { return int(d.level) }

// Closed is why nothing is taken, empty if something is.
func (d *Desk) Closed() string { return d.closed }

// Look works out the limits anew. blocked tells that answers can't leave. Saturated, an instance leaves messages in the queue for
// its peers and keeps its room for callers who wait on a connection: the level falls while the module turns messages away or
// holds more ops than it has cores, and rises, by as many as there are cores, only while what it lets in is used.
func (d *Desk) Look(now time.Duration, load front.Load, blocked bool) {
	d.load = load
	nacked := d.nacked
	d.nacked = 0
	if d.began && now-d.looked < Every/2 {
		return
	}
	d.looked, d.began = now, true
	d.closed = ""
	switch {
	case load.Draining:
		d.closed = "leaving"
	case !load.Ready:
		d.closed = "runtime-down"
	case blocked:
		d.closed = "blocked"
	case load.FreeCapacity <= 0:
		d.closed = "memory"
	}
	if d.closed != "" {
		// Danger: coming back with all that was let in before, into an instance that starts cold.
		d.level = float64(d.floors())
		for _, q := range d.queues {
			q.limit = 0
		}
		return
	}
	cores := max(1, load.Cores)
	d.level = max(d.level, float64(d.floors())) // room that was short may be back
	switch {
	case nacked > 0, !load.Healthy, float64(load.Queued) > 2*cores:
		d.level = max(float64(d.floors()), d.level*down)
	case float64(d.Hand()) >= 0.8*d.level && float64(load.Queued) <= cores:
		d.level += cores
	}
	d.level = min(d.level, float64(min(d.most, d.Hand()+load.FreeCapacity)))
	d.share(now)
}

// share divides the level: floors first, then the higher priority before the lower, by weight within one, and never more than
// a queue can use.
func (d *Desk) share(now time.Duration) {
	left := int(d.level)
	byPriority := slices.Clone(d.queues)
	slices.SortStableFunc(byPriority, func(a, b *queue) int { return cmp.Compare(b.Priority, a.Priority) })
	for _, q := range byPriority {
		q.limit = min(q.Floor, q.cap(now), max(left, 0))
		left -= q.limit
	}
	for i := 0; i < len(byPriority) && left > 0; {
		j := i
		for j < len(byPriority) && byPriority[j].Priority == byPriority[i].Priority {
			j++
		}
		left = fill(byPriority[i:j], left, now)
		i = j
	}
	for _, q := range d.queues {
		if q.state == probing && now >= q.probe && q.hand == 0 {
			q.limit = 1
		}
	}
}

// cap is what a queue may have in hand by its own state: one that fails is probed, not drained into failure.
func (q *queue) cap(now time.Duration) int {
	switch q.state {
	case probing:
		if now >= q.probe {
			return 1
		}
		return 0
	case coming:
		return min(q.Most, q.grows)
	}
	return q.Most
}

// wants is what a queue can use: somewhat more than it has, so that it shows whether there is more.
func (q *queue) wants(now time.Duration) int { return min(q.cap(now), 2*q.hand+4) }

// fill gives what is left to queues of one priority, by weight, until each has what it wants.
func fill(queues []*queue, left int, now time.Duration) int {
	for left > 0 {
		sum := 0.0
		for _, q := range queues {
			if q.limit < q.wants(now) {
				sum += max(q.Weight, 0.01)
			}
		}
		if sum == 0 {
			return left
		}
		before := left
		for _, q := range queues {
			if short := q.wants(now) - q.limit; short > 0 && left > 0 {
				part := min(short, left, max(1, int(float64(before)*max(q.Weight, 0.01)/sum)))
				q.limit += part
				left -= part
			}
		}
	}
	return left
}

// Limit is how many messages of a queue may be in hand; none means that consuming stops.
func (d *Desk) Limit(name QueueName) int {
	if q := d.of(name); q != nil {
		return q.limit
	}
	return 0
}

// State tells how a queue is treated, in one word.
func (d *Desk) State(name QueueName) string {
	q := d.of(name)
	switch {
	case q == nil:
		return "unknown"
	case d.closed != "":
		return d.closed
	}
	return [...]string{"open", "probing", "coming"}[q.state]
}
