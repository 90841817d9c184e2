package membership

import (
	"time"
)

// markReachable takes a member that the detector reaches again.
func (t *Table) markReachable(member Member, now time.Duration) {
	if !member.unreachable && member.State != StateGone {
		t.transition(member, member.State, member.Reason, now)
		return
	}
	if member.unreachable && member.State != StateSuspect && member.State != StateGone { // within the doubt: the word was wrong, nothing happened
		t.Stats.RefutedSuspicions++
		member.unreachable = false
		t.transition(member, member.State, member.Reason, now)
		return
	}
	// Who comes back with many others, or while we ourselves were out, has not flapped: what lay between was cut.
	if !member.flapExempt {
		t.addFlapPenalty(&member, now)
	}
	member.unreachable, member.flapExempt, member.lastHeardAt = false, false, t.judgementClock(now)
	t.reclassify(member, ReasonRecovered, now)
}

// exemptMassLoss marks those that are lost at one time with more than a few others: that is a cut or a zone, not one that flaps.
func (t *Table) exemptMassLoss() {
	threshold := max(1, t.members.Len()/8)
	var unreachable []Member
	for it := t.members.Iterator(); !it.Done(); {
		if _, m, _ := it.Next(); m.unreachable && m.State != StateGone && m.State != StateLeaving {
			unreachable = append(unreachable, m)
		}
	}
	if len(unreachable) <= threshold {
		return
	}
	for _, m := range unreachable {
		if !m.flapExempt {
			m.flapExempt = true
			t.members = t.members.Set(m.Name, m)
		}
	}
}

// reclassify puts a member that is reached where it belongs by what it has said.
func (t *Table) reclassify(member Member, reason Reason, now time.Duration) {
	switch {
	case member.State == StateLeaving || member.Reason == ReasonDraining:
		t.transition(member, StateLeaving, ReasonDraining, now)
	case member.flapSuppressed:
		t.transition(member, StateSuspect, ReasonFlapping, now)
	case !member.ready:
		t.transition(member, StateJoining, reason, now)
	case now < member.warmUpUntil:
		t.transition(member, StateWarming, reason, now)
	default:
		t.transition(member, StateUp, reason, now)
	}
}

// HandleUnreachable takes the detector's word that it does not reach a life any more, or that this one has left.
func (t *Table) HandleUnreachable(id ID, left bool, now time.Duration) {
	member, known := t.members.Get(id.Name)
	if !known || member.BootID != id.BootID || member.State == StateGone || member.State == StateFenced {
		return
	}
	switch {
	case left || member.State == StateLeaving:
		member.unreachable = true
		t.transition(member, StateGone, ReasonLeft, now)
	case !member.unreachable:
		member.unreachable, member.unreachableSince, member.unreachableReportedAt, member.flapExempt = true, t.judgementClock(now), now, !t.healthy(now)
		t.members = t.members.Set(member.Name, member)
	default:
		return
	}
	t.publishView(now)
}
