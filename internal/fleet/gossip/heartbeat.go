package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// statusInterval is how late a process that has become ready is seen to be.
const statusInterval = 250 * time.Millisecond

// publisher is what an agent's own heartbeats go by. It is owned by the event loop.
type publisher struct {
	sequence        uint64
	nextAt          time.Duration // when the next broadcast is due
	announcedDigest uint64        // the view digest of the last heartbeat
	ready           bool          // as of the last broadcast
	readySince      time.Duration // if ready
}

// encodedHeartbeat is a heartbeat as it was written, and when. It is immutable.
type encodedHeartbeat struct {
	message   []byte
	encodedAt time.Time
}

// withCurrentAge is the message with its present age.
func (h *encodedHeartbeat) withCurrentAge() []byte {
	message := append([]byte(nil), h.message...)
	return setAge(message, time.Since(h.encodedAt))
}

// pollStatus asks the process for its status, and broadcasts a heartbeat when one is due, and at once when others
// have to know.
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
		// A new view digest goes out with the answers to probes, and is not broadcast to the whole fleet. Without this,
		// views that differ would be found only once each has published again, many seconds later in a large fleet.
		a.buildHeartbeat(status)
	}
}

func (a *Agent) broadcastHeartbeat(status ProcessStatus) {
	if status.Ready && !a.publisher.ready {
		a.publisher.readySince = a.Now()
	}
	a.publisher.ready = status.Ready
	// The jitter keeps members that started at one moment from all publishing at the same moments.
	a.publisher.nextAt = a.Now() + membership.Jitter(a.table.HeartbeatInterval(), a.random.Float64())
	a.broadcasts.QueueBroadcast(&heartbeatBroadcast{
		from:      a.table.Self().ID(),
		heartbeat: a.buildHeartbeat(status),
	})
}

// buildHeartbeat makes our next heartbeat, which the answers to probes carry from then on.
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

// heartbeatBroadcast is a heartbeat that memberlist spreads; its age is written each time it goes out.
type heartbeatBroadcast struct {
	from      membership.ID
	heartbeat *encodedHeartbeat
}

// Invalidates implements memberlist.Broadcast: a later heartbeat of a process replaces the one before.
func (b *heartbeatBroadcast) Invalidates(other memberlist.Broadcast) bool {
	otherHeartbeat, isHeartbeat := other.(*heartbeatBroadcast)
	return isHeartbeat && otherHeartbeat.from == b.from
}

// Message implements memberlist.Broadcast.
func (b *heartbeatBroadcast) Message() []byte { return b.heartbeat.withCurrentAge() }

// Finished implements memberlist.Broadcast.
func (b *heartbeatBroadcast) Finished() {}
