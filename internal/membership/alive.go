package membership

import "time"

// AliveResult is what became of a descriptor that was received.
type AliveResult uint8

// The results.
const (
	AliveAccepted          AliveResult = iota // it is in the table
	AliveOutdated                             // of an earlier process of the name, which has to be notified
	AliveTableFull                            // there is no room
	AliveIncarnationRaised                    // another has our name: we took a higher incarnation and have to announce it
	AliveFenced                               // a later process has our name: we are fenced
	AliveOwn                                  // our own descriptor
)

var aliveResultNames = [...]string{"accepted", "outdated", "table full", "incarnation raised", "fenced", "own"}

func (r AliveResult) String() string { return aliveResultNames[r] }

// HandleAlive takes a descriptor that gossip brought, of a member that the failure detector reaches.
func (t *Table) HandleAlive(descriptor Descriptor, now time.Duration) AliveResult {
	if descriptor.Name == t.self.Name {
		return t.resolveNameConflict(descriptor, now)
	}
	member, found := t.members.Get(descriptor.Name)
	switch {
	case !found && t.members.Len() >= t.config.MaxMembers && !t.evictGone(now, true):
		// Members that are here stay, so that made-up names by the thousand cannot fill the memory or push them out.
		t.Stats.RejectedFull++
		return AliveTableFull
	case found && descriptor.olderThan(member.Descriptor):
		t.Stats.OutdatedIncarnations++
		return AliveOutdated
	case !found:
		t.transition(newMember(descriptor), StateJoining, ReasonDiscovered, now)
	case descriptor.BootID != member.BootID:
		t.supersede(member, descriptor, now)
	default: // the same process, perhaps with a raised incarnation, perhaps back
		member.Descriptor = descriptor
		t.markReachable(member, now)
	}
	t.publishView(now)
	return AliveAccepted
}

func newMember(descriptor Descriptor) Member {
	return Member{Descriptor: descriptor, fingerprint: Fingerprint(descriptor.ID())}
}

// supersede puts a new process in the place of the one that had its name, whatever that one still publishes.
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

// maxIncarnationRaises is how often our own incarnation is raised: two that start at one moment raise in turn, and are
// told apart by their boot IDs before that is used up.
const maxIncarnationRaises = 3

// resolveNameConflict decides about another process with our name. Shortly after our start it is most likely our
// predecessor, of whom some still speak: we take a higher incarnation. Later it is our successor, and we are fenced.
// The incarnation is raised above what was seen and not read from the clock, which may have gone back between two
// starts.
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

// HandleFenceNotice takes another member's notice that a later process has our name.
func (t *Table) HandleFenceNotice(incarnation Incarnation, bootID BootID, now time.Duration) AliveResult {
	other := t.self
	other.Incarnation = incarnation
	other.BootID = bootID
	return t.resolveNameConflict(other, now)
}
