package gossip

import (
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/membership"
)

// delegate implements the callbacks of memberlist, which run on memberlist's goroutines. Its methods access only
// those fields of the agent that are shared or immutable, and post all other work to the event loop.
type delegate struct{ agent *Agent }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(_ int) []byte { return encodeDescriptor(d.agent.view.Load().Self) }

// NotifyAlive implements memberlist.AliveDelegate. It rejects a node that cannot become a member before memberlist
// spreads it, so that made-up names cannot fill the memory of the fleet.
func (d delegate) NotifyAlive(node *memberlist.Node) error {
	err := d.admit(node)
	if err != nil {
		d.agent.rejectedDescriptors.Add(1)
	}
	return err
}

// admit returns an error if a node cannot become a member: if its descriptor is malformed, or if it would be a new
// member past the maximum number of members and no gone member can be evicted for it.
func (d delegate) admit(node *memberlist.Node) error {
	descriptor, err := decodeDescriptor(node.Name, node.Address(), node.Meta)
	if err != nil {
		return err
	}
	view := d.agent.view.Load()
	_, found := view.Get(descriptor.Name)
	if found || descriptor.Name == view.Self.Name {
		return nil
	}
	if int64(view.Len()) >= d.agent.maxMembers.Load() && view.Count(membership.StateGone) == 0 {
		return errTableFull
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate.
func (d delegate) NotifyJoin(node *memberlist.Node) {
	descriptor, err := decodeDescriptor(node.Name, node.Address(), node.Meta)
	if err != nil {
		return // NotifyAlive has rejected and counted the node
	}
	d.agent.Post(func() { d.agent.handleAlive(descriptor) })
}

// NotifyUpdate implements memberlist.EventDelegate.
func (d delegate) NotifyUpdate(node *memberlist.Node) { d.NotifyJoin(node) }

// NotifyLeave implements memberlist.EventDelegate. It handles a node that has left or that the failure detector
// cannot reach.
func (d delegate) NotifyLeave(node *memberlist.Node) {
	id, ok := membership.ParseID(node.Name)
	if !ok {
		return
	}
	left := node.State == memberlist.StateLeft
	d.agent.Post(func() {
		if left {
			d.agent.table.HandleLeft(id, d.agent.Now())
		} else {
			d.agent.table.HandleUnreachable(id, d.agent.Now())
		}
		d.agent.applyChanges()
	})
}

// NotifyConflict implements memberlist.ConflictDelegate. It logs that one process is seen at two addresses, which
// happens only if a process was copied.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("member seen at two addresses", "member_id", existing.Name, "addr", existing.Address(),
		"other_addr", other.Address())
}

// AckPayload implements memberlist.PingDelegate. It returns this process's latest heartbeat, which memberlist sends
// with its response to a probe.
func (d delegate) AckPayload() []byte { return d.agent.ownHeartbeat.Load().withCurrentAge() }

// NotifyPingComplete implements memberlist.PingDelegate.
func (d delegate) NotifyPingComplete(_ *memberlist.Node, roundTrip time.Duration, payload []byte) {
	message := append([]byte(nil), payload...)
	d.agent.Post(func() {
		d.agent.table.ObserveAck(d.agent.Now())
		d.agent.handleMessage(message, roundTrip/2)
	})
}

// NotifyMsg implements memberlist.Delegate. It drops messages above the configured rate, which protects against a
// member that floods the others. A dropped heartbeat is replaced by the next one.
func (d delegate) NotifyMsg(message []byte) {
	if !d.agent.messageLimiter.Load().Allow() {
		d.agent.rateLimited.Add(1)
		return
	}
	message = append([]byte(nil), message...)
	d.agent.Post(func() { d.agent.handleMessage(message, 0) })
}

// GetBroadcasts implements memberlist.Delegate.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.agent.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. It returns the latest heartbeats of this process and of all present
// members, for a member that joins or that was unreachable.
func (d delegate) LocalState(_ bool) []byte {
	messages := [][]byte{d.agent.ownHeartbeat.Load().withCurrentAge()}
	now := time.Since(d.agent.start)
	for member := range d.agent.view.Load().All() {
		if member.Sequence == 0 || !member.State.Present() {
			continue
		}
		heartbeat, age := member.Heartbeat(now)
		messages = append(messages, setAge(encodeHeartbeat(heartbeat), age))
	}
	return encodeState(messages)
}

// MergeRemoteState implements memberlist.Delegate. It handles the messages of a state that another member's
// LocalState returned.
func (d delegate) MergeRemoteState(state []byte, _ bool) {
	limit := int(d.agent.maxMembers.Load()) + 1
	err := decodeState(state, limit, func(message []byte) {
		message = append([]byte(nil), message...)
		d.agent.Post(func() { d.agent.handleMessage(message, 0) })
	})
	if err != nil {
		d.agent.malformed.Add(1)
	}
}
