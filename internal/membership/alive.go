package membership

import (
	"time"
)

// AliveResult is what became of a claim.
type AliveResult uint8

const (
	AliveAccepted          AliveResult = iota
	AliveOutdated                      // of an earlier life: its owner is to be told
	AliveTableFull                     // there is no room
	AliveIncarnationRaised             // our own name, claimed by another: we have taken a higher incarnation and have to say so
	AliveFenced                        // our own name, claimed by a later life: we are fenced
	AliveOwn                           // our own claim
)

// HandleAlive takes a claim that the gossip brought, of a member that the detector reaches.
func (t *Table) HandleAlive(descriptor Descriptor, now time.Duration) AliveResult {
	if descriptor.Name == t.self.Name {
		return t.resolveNameConflict(descriptor, now)
	}
	member, known := t.members.Get(descriptor.Name)
	switch {
	case !known && t.members.Len() >= t.config.MaxMembers && !t.evictGone(now, true):
		// Danger: names made up by the thousand fill the memory. Who is here stays, newcomers wait outside.
		t.Stats.RejectedFull++
		return AliveTableFull
	case known && descriptor.olderThan(member.Descriptor):
		t.Stats.OutdatedIncarnations++
		return AliveOutdated
	case !known || descriptor.BootID != member.BootID:
		if known && member.State != StateGone && member.State != StateFenced { // the old life is over, whatever it still says
			t.Stats.Transitions++
			t.changes = append(t.changes, Change{member.ID(), member.Incarnation, member.State, StateFenced, ReasonSuperseded, t.version + 1})
		}
		// What it was held back for stays with the name. Danger: one that crashes as soon as it serves is a new life each time.
		successor := Member{Descriptor: descriptor, fingerprint: Fingerprint(descriptor.ID()), flapPenalty: member.flapPenalty, flapPenaltyAt: member.flapPenaltyAt, flapSuppressed: member.flapSuppressed}
		if known && member.State != StateGone && member.State != StateLeaving {
			t.addFlapPenalty(&successor, now)
		}
		t.transition(successor, StateJoining, ReasonDiscovered, now)
	default: // the same life, perhaps with a raised incarnation, perhaps back
		member.Descriptor = descriptor
		t.markReachable(member, now)
	}
	t.publishView(now)
	return AliveAccepted
}

// resolveNameConflict decides about another that claims our name. While we are young it is most likely our predecessor, of whom some still
// speak: we go above it. Once we have been here for a while it is our successor, and we are the one that is over.
// Danger: a clock that went back between two lives would have the new one taken for the old; so the number is learnt, not timed.
func (t *Table) resolveNameConflict(rival Descriptor, now time.Duration) AliveResult {
	const maxRaises = 3 // two that start at one moment raise in turn; the lives decide before that is used up
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
	if now-t.start <= t.config.SettleTime+t.config.GoneAfter && t.incarnationRaises < maxRaises {
		t.incarnationRaises++
		t.self.Incarnation = rival.Incarnation + 1
		t.publishView(now)
		return AliveIncarnationRaised
	}
	t.fenced = true
	t.publishView(now)
	return AliveFenced
}

// HandleFenceNotice takes another's word that a later life has our name.
func (t *Table) HandleFenceNotice(incarnation Incarnation, bootID BootID, now time.Duration) AliveResult {
	rival := t.self
	rival.Incarnation, rival.BootID = incarnation, bootID
	return t.resolveNameConflict(rival, now)
}
