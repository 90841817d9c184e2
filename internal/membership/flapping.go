package membership

import (
	"math"
	"time"
)

// flapPenalty counts how often a member came back of late. It stays with the name over restarts: one that crashes as
// soon as it serves is a new process each time.
type flapPenalty struct {
	value      float64 // as of at
	at         time.Duration
	suppressed bool // it stays suspect until the penalty is below the reuse limit
}

// add counts one return.
func (p *flapPenalty) add(config FlapDampingConfig, now time.Duration) {
	p.value = min(config.MaxPenalty, p.decayed(config, now)+1)
	p.at = now
	if p.value >= config.SuppressLimit {
		p.suppressed = true
	}
}

// decayed is the penalty as of now.
func (p *flapPenalty) decayed(config FlapDampingConfig, now time.Duration) float64 {
	return p.value * math.Exp2(-float64(now-p.at)/float64(config.HalfLife))
}

// exemptMassLoss marks members that are lost together with many others: a network cut or a zone, which is no flapping.
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
