package membership

import (
	"math"
	"time"
)

// flapPenalty is a decaying count of a member's recent returns. It belongs to the name and survives restarts, because
// a member that crashes as soon as it serves is a new process each time.
type flapPenalty struct {
	value      float64 // penalty at the time updatedAt
	updatedAt  time.Duration
	suppressed bool // the member stays suspect until the penalty is below the reuse limit
}

// addFlap adds one return to the penalty.
func (p *flapPenalty) addFlap(config FlapDampingConfig, now time.Duration) {
	p.value = min(config.MaxPenalty, p.decayedValue(config, now)+1)
	p.updatedAt = now
	if p.value >= config.SuppressLimit {
		p.suppressed = true
	}
}

// decayedValue returns the penalty at the time now.
func (p *flapPenalty) decayedValue(config FlapDampingConfig, now time.Duration) float64 {
	return p.value * math.Exp2(-float64(now-p.updatedAt)/float64(config.HalfLife))
}

// exemptMassOutage exempts members that are unreachable together with many others from the flap penalty: the cause is a
// network partition or the outage of a zone, not flapping.
func (t *Table) exemptMassOutage() {
	threshold := max(1, t.members.Len()/8)
	var unreachable []Member
	for member := range allMembers(t.members) {
		if member.reachability.unreachable && member.State != StateGone && member.State != StateLeaving {
			unreachable = append(unreachable, member)
		}
	}
	if len(unreachable) <= threshold {
		return
	}
	for _, member := range unreachable {
		if !member.reachability.flapExempt {
			member.reachability.flapExempt = true
			t.members = t.members.Set(member.Name, member)
		}
	}
}
