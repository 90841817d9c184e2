package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// statusInterval is the interval between two requests for the status of the process, and so the maximum delay with
// which the agent notices that the process has become ready.
const statusInterval = 250 * time.Millisecond

// publisher holds the state from which the agent publishes its own heartbeats. It is owned by the event loop.
type publisher struct {
	sequence        uint64
	nextAt          time.Duration // time of the next regular broadcast
	announcedDigest uint64        // view digest in the latest heartbeat
	ready           bool          // as of the last broadcast
	readySince      time.Duration // valid if ready
}

// encodedHeartbeat is an encoded heartbeat with the time at which it was encoded. It is immutable.
type encodedHeartbeat struct {
	message   []byte
	encodedAt time.Time
}

// withCurrentAge returns a copy of the message with its current age.
func (h *encodedHeartbeat) withCurrentAge() []byte {
	message := append([]byte(nil), h.message...)
	return setAge(message, time.Since(h.encodedAt))
}

// pollStatus asks the process for its status every statusInterval. A heartbeat is broadcast when one is due, and
// immediately when the process has become ready or unready or is draining.
func (a *Agent) pollStatus() {
	if a.HasQuit() {
		return
	}
	a.process.Status(func(status ProcessStatus) {
		a.Post(func() { a.applyStatus(status) })
	})
	a.ScheduleAt(a.Now()+statusInterval, a.pollStatus)
}

func (a *Agent) applyStatus(status ProcessStatus) {
	due := a.Now() >= a.publisher.nextAt
	changed := status.Ready != a.publisher.ready || status.Draining && !a.draining
	switch {
	case due || changed:
		a.broadcastHeartbeat(status)
	case a.publisher.announcedDigest != a.table.ViewDigest() && !a.draining:
		// A new view digest is sent with the responses to probes and is not broadcast to the whole fleet. Without
		// this case, differing views would be detected only after each process has published again, which takes many
		// seconds in a large fleet.
		a.buildHeartbeat(status)
	}
}

func (a *Agent) broadcastHeartbeat(status ProcessStatus) {
	if status.Ready && !a.publisher.ready {
		a.publisher.readySince = a.Now()
	}
	a.publisher.ready = status.Ready
	// The jitter prevents members that started at the same time from all publishing at the same times.
	a.publisher.nextAt = a.Now() + membership.Jitter(a.table.HeartbeatInterval(), a.random.Float64())
	a.broadcasts.QueueBroadcast(&heartbeatBroadcast{
		from:      a.table.Self().ID(),
		heartbeat: a.buildHeartbeat(status),
	})
}

// buildHeartbeat returns this process's next heartbeat and stores it as the one that responses to probes carry.
func (a *Agent) buildHeartbeat(status ProcessStatus) *encodedHeartbeat {
	a.publisher.sequence++
	a.publisher.announcedDigest = a.table.ViewDigest()
	self := a.table.Self()
	heartbeat := membership.Heartbeat{
		ID:          self.ID(),
		Incarnation: self.Incarnation,
		Sequence:    a.publisher.sequence,
		Ready:       status.Ready,
		Draining:    status.Draining || a.draining,
		ViewDigest:  a.publisher.announcedDigest,
		Metrics:     status.Metrics,
	}
	if status.Ready {
		heartbeat.ReadyFor = a.Now() - a.publisher.readySince
	}
	for i := range heartbeat.Metrics {
		if heartbeat.Metrics[i].TTL == 0 {
			heartbeat.Metrics[i].TTL = a.table.MetricTTL()
		}
	}
	return a.storeHeartbeat(heartbeat)
}

func (a *Agent) storeHeartbeat(heartbeat membership.Heartbeat) *encodedHeartbeat {
	encoded := &encodedHeartbeat{message: encodeHeartbeat(heartbeat), encodedAt: time.Now()}
	a.ownHeartbeat.Store(encoded)
	return encoded
}

// heartbeatBroadcast is a heartbeat that memberlist broadcasts. Its age is updated each time it is sent.
type heartbeatBroadcast struct {
	from      membership.ID
	heartbeat *encodedHeartbeat
}

// Invalidates implements memberlist.Broadcast. It reports whether other is a heartbeat of the same process, which b
// replaces.
func (b *heartbeatBroadcast) Invalidates(other memberlist.Broadcast) bool {
	otherHeartbeat, isHeartbeat := other.(*heartbeatBroadcast)
	return isHeartbeat && otherHeartbeat.from == b.from
}

// Message implements memberlist.Broadcast.
func (b *heartbeatBroadcast) Message() []byte { return b.heartbeat.withCurrentAge() }

// Finished implements memberlist.Broadcast.
func (b *heartbeatBroadcast) Finished() {}
