package membership

import (
	"math"
	"time"
)

// addFlapPenalty counts one return against a member.
func (t *Table) addFlapPenalty(member *Member, now time.Duration) {
	member.flapPenalty = min(t.config.FlapDamping.MaxPenalty, t.decayedPenalty(*member, now)+1)
	member.flapPenaltyAt = now
	if member.flapPenalty >= t.config.FlapDamping.SuppressLimit {
		member.flapSuppressed = true
	}
}

// decayedPenalty is what the returns still count for.
func (t *Table) decayedPenalty(member Member, now time.Duration) float64 {
	return member.flapPenalty * math.Exp2(-float64(now-member.flapPenaltyAt)/float64(t.config.FlapDamping.HalfLife))
}
