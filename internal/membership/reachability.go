package membership

import "time"

// HandleUnreachable handles the failure detector's report that it no longer reaches a process.
func (t *Table) HandleUnreachable(id ID, now time.Duration) {
	member, present := t.presentMember(id)
	switch {
	case !present:
		return
	case member.State == StateLeaving:
		t.markLeft(member, now)
	case !member.reachability.lost:
		member.reachability = reachability{
			lost:       true,
			lostSince:  t.clock.at(now),
			reportedAt: now,
			flapExempt: !t.healthy(now),
		}
		t.members = t.members.Set(member.Name, member)
	default:
		return
	}
	t.publishView(now)
}

// HandleLeft handles a process's announcement that it has left.
func (t *Table) HandleLeft(id ID, now time.Duration) {
	if member, present := t.presentMember(id); present {
		t.markLeft(member, now)
		t.publishView(now)
	}
}

// presentMember returns the member with the given identity; present is false if no such process is part of the fleet.
func (t *Table) presentMember(id ID) (member Member, present bool) {
	member, found := t.members.Get(id.Name)
	return member, found && member.BootID == id.BootID && member.State.Present()
}

func (t *Table) markLeft(member Member, now time.Duration) {
	member.reachability.lost = true
	t.transition(member, StateGone, ReasonLeft, now)
}

// markReachable handles a member that the failure detector reaches, possibly after it was lost.
func (t *Table) markReachable(member Member, now time.Duration) {
	if !member.reachability.lost && member.State != StateGone {
		t.transition(member, member.State, member.Reason, now)
		return
	}
	if member.State != StateSuspect && member.State != StateGone { // the report was refuted in time
		t.Stats.RefutedSuspicions++
		member.reachability.lost = false
		t.transition(member, member.State, member.Reason, now)
		return
	}
	// A member that was lost together with many others, or while this process was cut off, has not flapped.
	if !member.reachability.flapExempt {
		member.flapping.add(t.config.FlapDamping, now)
	}
	member.reachability.lost = false
	member.reachability.flapExempt = false
	member.lastHeardAt = t.clock.at(now)
	t.reclassify(member, ReasonRecovered, now)
}

// reclassify sets the state of a reachable member according to its last heartbeat and its flap penalty.
func (t *Table) reclassify(member Member, reason Reason, now time.Duration) {
	switch {
	case member.State == StateLeaving || member.Reason == ReasonDraining:
		t.transition(member, StateLeaving, ReasonDraining, now)
	case member.flapping.suppressed:
		t.transition(member, StateSuspect, ReasonFlapping, now)
	case !member.ready:
		t.transition(member, StateJoining, reason, now)
	case now < member.warmUpUntil:
		t.transition(member, StateWarming, reason, now)
	default:
		t.transition(member, StateUp, reason, now)
	}
}
