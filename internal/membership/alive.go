package membership

import "time"

// AliveResult is the result of handling a received descriptor.
type AliveResult uint8

// The values of AliveResult.
const (
	AliveAccepted          AliveResult = iota // the descriptor is in the table
	AliveOutdated                             // the descriptor of an earlier process, which must be notified
	AliveTableFull                            // the table is full
	AliveIncarnationRaised                    // name conflict: this process raised its incarnation and must announce it
	AliveFenced                               // name conflict: this process is fenced
	AliveOwn                                  // the descriptor of this process
)

var aliveResultNames = [...]string{"accepted", "outdated", "table full", "incarnation raised", "fenced", "own"}

func (r AliveResult) String() string { return aliveResultNames[r] }

// HandleAlive handles a descriptor that was received by gossip, of a member that the failure detector reaches.
func (t *Table) HandleAlive(descriptor Descriptor, now time.Duration) AliveResult {
	if descriptor.Name == t.self.Name {
		return t.resolveNameConflict(descriptor, now)
	}
	member, found := t.members.Get(descriptor.Name)
	switch {
	case !found && t.members.Len() >= t.config.MaxMembers && !t.evictGone(now, true):
		// Members that are not gone are never evicted, so that thousands of made-up names cannot fill the memory or
		// displace them.
		t.Stats.RejectedFull++
		return AliveTableFull
	case found && descriptor.olderThan(member.Descriptor):
		t.Stats.OutdatedIncarnations++
		return AliveOutdated
	case !found:
		t.transition(newMember(descriptor), StateJoining, ReasonDiscovered, now)
	case descriptor.BootID != member.BootID:
		t.supersede(member, descriptor, now)
	default: // the same process, possibly with a raised incarnation or reachable again
		member.Descriptor = descriptor
		t.markReachable(member, now)
	}
	t.publishView(now)
	return AliveAccepted
}

func newMember(descriptor Descriptor) Member {
	return Member{Descriptor: descriptor, fingerprint: Fingerprint(descriptor.ID())}
}

// supersede replaces a member with a later process with the same name. Heartbeats that the earlier process still
// publishes are ignored from then on.
func (t *Table) supersede(previous Member, descriptor Descriptor, now time.Duration) {
	if previous.State.Present() {
		t.recordChange(previous, previous.State, StateFenced, ReasonSuperseded)
	}
	successor := newMember(descriptor)
	successor.flapping = previous.flapping
	if previous.State != StateGone && previous.State != StateLeaving {
		successor.flapping.add(t.config.FlapDamping, now)
	}
	t.transition(successor, StateJoining, ReasonDiscovered, now)
}

// maxIncarnationRaises is the maximum number of times that this process raises its incarnation. Two processes that
// start at the same time raise theirs in turn, and their boot IDs decide between them before the limit is reached.
const maxIncarnationRaises = 3

// resolveNameConflict handles a descriptor of another process with the name of this one. Shortly after the start of
// this process, the other one is most likely its predecessor, which some members still gossip about; this process
// then raises its incarnation. Later the other one is its successor, and this process is fenced. The new incarnation
// is one above the one received and is not taken from the clock, which may have been set back between the two starts.
func (t *Table) resolveNameConflict(rival Descriptor, now time.Duration) AliveResult {
	if rival.BootID == t.self.BootID {
		return AliveOwn
	}
	if rival.olderThan(t.self) {
		t.Stats.OutdatedIncarnations++
		return AliveOutdated
	}
	if t.fenced {
		return AliveFenced
	}
	if now-t.start <= t.config.SettleTime+t.config.GoneAfter && t.incarnationRaises < maxIncarnationRaises {
		t.incarnationRaises++
		t.self.Incarnation = rival.Incarnation + 1
		t.publishView(now)
		return AliveIncarnationRaised
	}
	t.fenced = true
	t.publishView(now)
	return AliveFenced
}

// HandleFenceNotice handles another member's notice that a later process, with the given incarnation and boot ID, has
// the name of this one.
func (t *Table) HandleFenceNotice(incarnation Incarnation, bootID BootID, now time.Duration) AliveResult {
	rival := t.self
	rival.Incarnation = incarnation
	rival.BootID = bootID
	return t.resolveNameConflict(rival, now)
}
