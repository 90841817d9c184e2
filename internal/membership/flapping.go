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
func (p *flapPenalty) addFlap(config FlapDampingConfig, now time.Duration) {
	p.value = min(config.MaxPenalty, p.decayedValue(config, now)+1)
	p.at = now
	if p.value >= config.SuppressLimit {
		p.suppressed = true
	}
}

// decayed is the penalty as of now.
func (p *flapPenalty) decayedValue(config FlapDampingConfig, now time.Duration) float64 {
	return p.value * math.Exp2(-float64(now-p.at)/float64(config.HalfLife))
}

// exemptMassLoss marks members that are lost together with many others: a network cut or a zone, which is no flapping.
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
