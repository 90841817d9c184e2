package gossip

import (
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// NodeMeta is memberlist.Delegate.
func (p *Agent) NodeMeta(limit int) []byte { return encodeDescriptor(p.view.Load().Self) }

// NotifyAlive is memberlist.AliveDelegate: it refuses what can't be a member before it is gossiped on. Danger: names
// without end.
func (p *Agent) NotifyAlive(node *memberlist.Node) error {
	descriptor, err := decodeDescriptor(node.Name, node.Address(), node.Meta)
	if err == nil {
		view := p.view.Load()
		if _, known := view.Get(descriptor.Name); !known && descriptor.Name != view.Self.Name && int64(view.Len()) >= p.maxMembers.Load() && view.Count(membership.StateGone) == 0 {
			err = errTooLarge
		}
	}
	if err != nil {
		p.rejectedDescriptors.Add(1)
	}
	return err
}

// NotifyJoin is memberlist.EventDelegate.
func (p *Agent) NotifyJoin(node *memberlist.Node) {
	if descriptor, err := decodeDescriptor(node.Name, node.Address(), node.Meta); err == nil {
		p.Post(func() { p.handleAlive(descriptor) })
	}
}

// NotifyUpdate is memberlist.EventDelegate.
func (p *Agent) NotifyUpdate(node *memberlist.Node) { p.NotifyJoin(node) }

// NotifyLeave is memberlist.EventDelegate.
func (p *Agent) NotifyLeave(node *memberlist.Node) {
	if id, ok := membership.ParseID(node.Name); ok {
		left := node.State == memberlist.StateLeft
		p.Post(func() {
			if left {
				p.table.HandleLeft(id, p.Now())
			} else {
				p.table.HandleUnreachable(id, p.Now())
			}
			p.applyChanges()
		})
	}
}

// NotifyConflict is memberlist.ConflictDelegate: one life at two addresses, which only a copied process could be.
func (p *Agent) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("conflict", "life", existing.Name, "here", existing.Address(), "there", other.Address())
}

// AckPayload is memberlist.PingDelegate: whoever calls hears how we stand, first hand.
func (p *Agent) AckPayload() []byte { return p.ownHeartbeat.Load().withAge() }

// NotifyPingComplete is memberlist.PingDelegate.
func (p *Agent) NotifyPingComplete(other *memberlist.Node, rtt time.Duration, payload []byte) {
	message := append([]byte(nil), payload...)
	p.Post(func() {
		p.table.ObserveAck(p.Now())
		p.handleMessage(message, rtt/2)
	})
}

// NotifyMsg is memberlist.Delegate. Danger: a member gone wild that floods the others; past the rate its messages are
// dropped, as is what it can be made good by: the next bulletin.
func (p *Agent) NotifyMsg(message []byte) {
	if !p.messageLimiter.Load().Allow() {
		p.rateLimited.Add(1)
		return
	}
	message = append([]byte(nil), message...)
	p.Post(func() { p.handleMessage(message, 0) })
}

// GetBroadcasts is memberlist.Delegate.
func (p *Agent) GetBroadcasts(overhead, limit int) [][]byte {
	return p.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState is memberlist.Delegate: all that we believe of the others' bulletins, for one that joins or was away.
func (p *Agent) LocalState(join bool) []byte {
	view := p.view.Load()
	messages := [][]byte{p.ownHeartbeat.Load().withAge()}
	now := time.Since(p.start)
	for member := range view.All() {
		if member.Sequence == 0 || member.State == membership.StateGone || member.State == membership.StateFenced {
			continue
		}
		heartbeat, age := member.Heartbeat(now)
		messages = append(messages, setAge(encodeHeartbeat(heartbeat), age))
	}
	return encodeState(messages)
}

// MergeRemoteState is memberlist.Delegate.
func (p *Agent) MergeRemoteState(state []byte, join bool) {
	if err := decodeState(state, int(p.maxMembers.Load())+1, func(message []byte) {
		message = append([]byte(nil), message...)
		p.Post(func() { p.handleMessage(message, 0) })
	}); err != nil {
		p.malformed.Add(1)
	}
}
