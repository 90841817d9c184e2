package gossip

import (
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// encodedHeartbeat is our last bulletin as it goes out, with when it was written.
type encodedHeartbeat struct {
	message   []byte
	encodedAt time.Time
}

func (s *encodedHeartbeat) withAge() []byte {
	return setAge(append([]byte(nil), s.message...), time.Since(s.encodedAt))
}

// pollStatus looks how we stand, and says so at the table's pace; at once where others have to know.
func (p *Agent) pollStatus() {
	if p.HasQuit() {
		return
	}
	p.process.Status(func(status ProcessStatus) {
		p.Post(func() {
			if p.Now() >= p.nextHeartbeat || status.Ready != (p.readySince >= 0) || status.Draining && !p.draining {
				p.broadcastHeartbeat(status)
			} else if p.announcedDigest != p.table.ViewDigest() && !p.draining {
				// What we hold to be so goes to whoever calls next, but is no news for the whole fleet. Danger: views that differ
				// are known to only as soon as each has spoken again, which is many seconds in a large fleet.
				p.buildHeartbeat(status)
			}
		})
	})
	const statusInterval = 250 * time.Millisecond // how late a process that has come up is known to have
	p.ScheduleAt(p.Now()+statusInterval, p.pollStatus)
}

func (p *Agent) broadcastHeartbeat(status ProcessStatus) {
	switch {
	case !status.Ready:
		p.readySince = -1
	case p.readySince < 0:
		p.readySince = p.Now()
	}
	// Half to one and a half times the pace. Danger: hundreds that started at one moment all speak at the same moments.
	p.nextHeartbeat = p.Now() + membership.Jitter(p.table.HeartbeatInterval(), p.random.Float64())
	p.broadcasts.QueueBroadcast(&heartbeatBroadcast{from: p.table.Self().ID(), heartbeat: p.buildHeartbeat(status)})
}

// buildHeartbeat makes our next bulletin, and has it ride on answers to calls.
func (p *Agent) buildHeartbeat(status ProcessStatus) *encodedHeartbeat {
	p.sequence++
	p.announcedDigest = p.table.ViewDigest()
	self := p.table.Self()
	heartbeat := membership.Heartbeat{ID: self.ID(), Incarnation: self.Incarnation, Sequence: p.sequence, Ready: status.Ready, Draining: status.Draining || p.draining, ViewDigest: p.table.ViewDigest(), Metrics: status.Metrics}
	if status.Ready {
		heartbeat.ReadyFor = p.Now() - p.readySince
	}
	for i := range heartbeat.Metrics {
		if heartbeat.Metrics[i].TTL == 0 {
			heartbeat.Metrics[i].TTL = p.table.MetricTTL()
		}
	}
	p.storeHeartbeat(heartbeat)
	return p.ownHeartbeat.Load()
}

func (p *Agent) storeHeartbeat(heartbeat membership.Heartbeat) {
	p.ownHeartbeat.Store(&encodedHeartbeat{encodeHeartbeat(heartbeat), time.Now()})
}

// heartbeatBroadcast is a bulletin on its way through the fleet; its age is written each time it goes out.
type heartbeatBroadcast struct {
	from      membership.ID
	heartbeat *encodedHeartbeat
}

func (b *heartbeatBroadcast) Invalidates(other memberlist.Broadcast) bool {
	otherHeartbeat, isHeartbeat := other.(*heartbeatBroadcast)
	return isHeartbeat && otherHeartbeat.from == b.from
}

func (b *heartbeatBroadcast) Message() []byte { return b.heartbeat.withAge() }

func (b *heartbeatBroadcast) Finished() {}
