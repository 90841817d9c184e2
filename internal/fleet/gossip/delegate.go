package gossip

import (
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// The methods in this file are what memberlist calls, on goroutines of its own: they touch only what is atomic or
// immutable, and post the rest to the event loop.

// NodeMeta implements memberlist.Delegate.
func (a *Agent) NodeMeta(_ int) []byte { return encodeDescriptor(a.view.Load().Self) }

// NotifyAlive implements memberlist.AliveDelegate. It refuses a node that cannot become a member before memberlist
// spreads it, so that made-up names do not fill the fleet's memory.
func (a *Agent) NotifyAlive(node *memberlist.Node) error {
	err := a.admit(node)
	if err != nil {
		a.rejectedDescriptors.Add(1)
	}
	return err
}

func (a *Agent) admit(node *memberlist.Node) error {
	descriptor, err := decodeDescriptor(node.Name, node.Address(), node.Meta)
	if err != nil {
		return err
	}
	view := a.view.Load()
	_, known := view.Get(descriptor.Name)
	if known || descriptor.Name == view.Self.Name {
		return nil
	}
	if int64(view.Len()) >= a.maxMembers.Load() && view.Count(membership.StateGone) == 0 {
		return errTableFull
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate.
func (a *Agent) NotifyJoin(node *memberlist.Node) {
	descriptor, err := decodeDescriptor(node.Name, node.Address(), node.Meta)
	if err != nil {
		return // NotifyAlive has refused and counted it
	}
	a.Post(func() { a.handleAlive(descriptor) })
}

// NotifyUpdate implements memberlist.EventDelegate.
func (a *Agent) NotifyUpdate(node *memberlist.Node) { a.NotifyJoin(node) }

// NotifyLeave implements memberlist.EventDelegate: a node has left, or the failure detector does not reach it.
func (a *Agent) NotifyLeave(node *memberlist.Node) {
	id, ok := membership.ParseID(node.Name)
	if !ok {
		return
	}
	left := node.State == memberlist.StateLeft
	a.Post(func() {
		if left {
			a.table.HandleLeft(id, a.Now())
		} else {
			a.table.HandleUnreachable(id, a.Now())
		}
		a.applyChanges()
	})
}

// NotifyConflict implements memberlist.ConflictDelegate: one process at two addresses, which only a copied process is.
func (a *Agent) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("member seen at two addresses", "member_id", existing.Name, "addr", existing.Address(),
		"other_addr", other.Address())
}

// AckPayload implements memberlist.PingDelegate: the answer to a probe carries our last heartbeat.
func (a *Agent) AckPayload() []byte { return a.ownHeartbeat.Load().withAge() }

// NotifyPingComplete implements memberlist.PingDelegate.
func (a *Agent) NotifyPingComplete(_ *memberlist.Node, roundTrip time.Duration, payload []byte) {
	message := append([]byte(nil), payload...)
	a.Post(func() {
		a.table.ObserveAck(a.Now())
		a.handleMessage(message, roundTrip/2)
	})
}

// NotifyMsg implements memberlist.Delegate. Messages past the configured rate are dropped, which guards against a
// member that floods the others; the next heartbeat makes up for them.
func (a *Agent) NotifyMsg(message []byte) {
	if !a.messageLimiter.Load().Allow() {
		a.rateLimited.Add(1)
		return
	}
	message = append([]byte(nil), message...)
	a.Post(func() { a.handleMessage(message, 0) })
}

// GetBroadcasts implements memberlist.Delegate.
func (a *Agent) GetBroadcasts(overhead, limit int) [][]byte {
	return a.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: the last heartbeats of all members that we know, for one that joins or was
// away.
func (a *Agent) LocalState(_ bool) []byte {
	messages := [][]byte{a.ownHeartbeat.Load().withAge()}
	now := time.Since(a.start)
	for member := range a.view.Load().All() {
		if member.Sequence == 0 || !member.State.Present() {
			continue
		}
		heartbeat, age := member.Heartbeat(now)
		messages = append(messages, setAge(encodeHeartbeat(heartbeat), age))
	}
	return encodeState(messages)
}

// MergeRemoteState implements memberlist.Delegate.
func (a *Agent) MergeRemoteState(state []byte, _ bool) {
	limit := int(a.maxMembers.Load()) + 1
	err := decodeState(state, limit, func(message []byte) {
		message = append([]byte(nil), message...)
		a.Post(func() { a.handleMessage(message, 0) })
	})
	if err != nil {
		a.malformed.Add(1)
	}
}
