package membership

import "time"

// HandleUnreachable processes a report of the failure detector that it can no longer reach a process.
func (t *Table) HandleUnreachable(id ID, now time.Duration) {
	member, present := t.findPresentMember(id)
	switch {
	case !present:
		return
	case member.State == StateLeaving:
		t.markLeft(member, now)
	case !member.reachability.unreachable:
		member.reachability = reachability{
			unreachable:      true,
			unreachableSince: t.clock.at(now),
			reportedAt:       now,
			flapExempt:       !t.locallyHealthy(now),
		}
		t.members = t.members.Set(member.Name, member)
	default:
		return
	}
	t.publishView(now)
}

// HandleLeft processes a process's announcement that it has left the fleet.
func (t *Table) HandleLeft(id ID, now time.Duration) {
	if member, present := t.findPresentMember(id); present {
		t.markLeft(member, now)
		t.publishView(now)
	}
}

// findPresentMember returns the member whose current process is id; present is false if it is not part of the fleet.
func (t *Table) findPresentMember(id ID) (member Member, present bool) {
	member, found := t.members.Get(id.Name)
	return member, found && member.BootID == id.BootID && member.State.Present()
}

func (t *Table) markLeft(member Member, now time.Duration) {
	member.reachability.unreachable = true
	t.transition(member, StateGone, ReasonLeft, now)
}

// markReachable stores a member that the detector reaches, possibly after it was unreachable or gone.
func (t *Table) markReachable(member Member, now time.Duration) {
	if !member.reachability.unreachable && member.State != StateGone {
		t.transition(member, member.State, member.Reason, now)
		return
	}
	if member.State != StateSuspect && member.State != StateGone { // it was reachable again before it became suspect
		t.Stats.RefutedSuspicions++
		member.reachability.unreachable = false
		t.transition(member, member.State, member.Reason, now)
		return
	}
	// A member has not flapped if it became unreachable together with many others, or while this process was cut off.
	if !member.reachability.flapExempt {
		member.flapping.addFlap(t.config.FlapDamping, now)
	}
	member.reachability.unreachable = false
	member.reachability.flapExempt = false
	member.lastHeardAt = t.clock.at(now)
	t.reclassify(member, ReasonRecovered, now)
}

// reclassify moves a reachable member to the state that follows from its last heartbeat and its flap penalty.
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
