package membership

import "time"

// AliveResult is the result of processing a received descriptor or fence notice.
type AliveResult uint8

// The results.
const (
	AliveAccepted          AliveResult = iota // the descriptor was stored in the table
	AliveOutdated                             // the descriptor is of an earlier process, which must get a fence notice
	AliveTableFull                            // the table has no room for another member
	AliveIncarnationRaised                    // this process raised its incarnation and must announce it
	AliveFenced                               // this process is fenced, because a later one has taken its name
	AliveOwn                                  // the descriptor is that of this process
)

var aliveResultNames = [...]string{"accepted", "outdated", "table full", "incarnation raised", "fenced", "own"}

func (r AliveResult) String() string { return aliveResultNames[r] }

// HandleAlive processes a descriptor that was received by gossip. The failure detector can reach the process that it
// describes.
func (t *Table) HandleAlive(descriptor Descriptor, now time.Duration) AliveResult {
	if descriptor.Name == t.self.Name {
		return t.resolveNameConflict(descriptor, now)
	}
	member, found := t.members.Get(descriptor.Name)
	switch {
	case !found && t.members.Len() >= t.config.MaxMembers && !t.evictGone(now, true):
		// Present members are not evicted, so thousands of made-up names can neither fill the memory nor displace them.
		t.Stats.RejectedFull++
		return AliveTableFull
	case found && descriptor.olderThan(member.Descriptor):
		t.Stats.OutdatedIncarnations++
		return AliveOutdated
	case !found:
		t.transition(newMember(descriptor), StateJoining, ReasonDiscovered, now)
	case descriptor.BootID != member.BootID:
		t.supersede(member, descriptor, now)
	default: // the same process; it may have raised its incarnation or be reachable again
		member.Descriptor = descriptor
		t.markReachable(member, now)
	}
	t.publishView(now)
	return AliveAccepted
}

func newMember(descriptor Descriptor) Member {
	return Member{Descriptor: descriptor, fingerprint: Fingerprint(descriptor.ID())}
}

// supersede replaces the previous process of a name with a new one. Messages that the previous process still publishes
// do not affect the new one.
func (t *Table) supersede(previous Member, descriptor Descriptor, now time.Duration) {
	if previous.State.Present() {
		t.recordChange(previous, previous.State, StateFenced, ReasonSuperseded)
	}
	successor := newMember(descriptor)
	successor.flapping = previous.flapping
	if previous.State != StateGone && previous.State != StateLeaving {
		successor.flapping.addFlap(t.config.FlapDamping, now)
	}
	t.transition(successor, StateJoining, ReasonDiscovered, now)
}

// maxIncarnationRaises is the maximum number of times that this process raises its own incarnation. Two processes that
// start under one name at the same moment raise their incarnations in turn: if the incarnations are equal, the process
// with the lower boot ID raises first. Boot IDs do not end the exchange, because each raise exceeds the other process's
// incarnation. The process that uses up its raises first is fenced by the next higher incarnation.
const maxIncarnationRaises = 3

// resolveNameConflict handles a descriptor of another process that has the name of this one. Shortly after the start
// of this process, the other one is most likely its predecessor, about which some members still gossip: this process
// raises its own incarnation above the predecessor's. Later, the other one is the successor, and this process is
// fenced. The new incarnation is derived from the received one and not from the clock, which may have gone back between
// the two starts.
func (t *Table) resolveNameConflict(other Descriptor, now time.Duration) AliveResult {
	if other.BootID == t.self.BootID {
		return AliveOwn
	}
	if other.olderThan(t.self) {
		t.Stats.OutdatedIncarnations++
		return AliveOutdated
	}
	if t.fenced {
		return AliveFenced
	}
	if now-t.start <= t.config.SettleTime+t.config.GoneAfter && t.incarnationRaises < maxIncarnationRaises {
		t.incarnationRaises++
		t.self.Incarnation = other.Incarnation + 1
		t.publishView(now)
		return AliveIncarnationRaised
	}
	t.fenced = true
	t.publishView(now)
	return AliveFenced
}

// HandleFenceNotice processes a notice from another member that a later process, with the given incarnation and boot
// ID, has the name of this process.
func (t *Table) HandleFenceNotice(incarnation Incarnation, bootID BootID, now time.Duration) AliveResult {
	other := t.self
	other.Incarnation = incarnation
	other.BootID = bootID
	return t.resolveNameConflict(other, now)
}
