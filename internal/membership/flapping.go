package membership

import (
	"math"
	"time"
)

// flapPenalty is a decaying count of the recent returns of a member. It is kept for the name across restarts, because
// a member that crashes as soon as it serves is a new process each time.
type flapPenalty struct {
	value      float64 // penalty at the time at
	at         time.Duration
	suppressed bool // the member stays suspect until the penalty is below the reuse limit
}

// add counts one return.
func (p *flapPenalty) add(config FlapDampingConfig, now time.Duration) {
	p.value = min(config.MaxPenalty, p.decayed(config, now)+1)
	p.at = now
	if p.value >= config.SuppressLimit {
		p.suppressed = true
	}
}

// decayed returns the penalty at the time now.
func (p *flapPenalty) decayed(config FlapDampingConfig, now time.Duration) float64 {
	return p.value * math.Exp2(-float64(now-p.at)/float64(config.HalfLife))
}

// exemptMassLoss exempts members that are lost together with many others from the flap penalty: the cause is a
// network partition or the failure of a zone, not flapping.
func (t *Table) exemptMassLoss() {
	threshold := max(1, t.members.Len()/8)
	var lost []Member
	for member := range allMembers(t.members) {
		if member.reachability.lost && member.State != StateGone && member.State != StateLeaving {
			lost = append(lost, member)
		}
	}
	if len(lost) <= threshold {
		return
	}
	for _, member := range lost {
		if !member.reachability.flapExempt {
			member.reachability.flapExempt = true
			t.members = t.members.Set(member.Name, member)
		}
	}
}
