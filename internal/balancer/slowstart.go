package balancer

import "time"

// slowStartShare is how much of its drawn share a cold member gets: the sum over all senders then stays under what it bears, where shares are uneven too.
const slowStartShare = 0.75

// slowStartAllows tells whether a cold member may be given an op now. Danger: it has little to do, so of a few that are drawn it is the least loaded one each
// time, for every process that decides, and gets several times what it was drawn for from all of them together. Each gives it no more than its
// part of its own ops; that is its part of the fleet's, however many others send and whether they are known or not. Each begins somewhere
// between two ops: else hundreds would give it their first one together.
func (c *Balancer) slowStartAllows(now time.Duration, state *endpointState, random func() float64) bool {
	if !state.warmingUp(now) {
		return true
	}
	if !state.slowStartBegun {
		state.slowStartBegun, state.slowStartCredit, state.creditedPicks = true, -random(), c.pickCount
	}
	if total := c.cumulativeWeights[len(c.cumulativeWeights)-1]; total > 0 { // else all of them rest, and nobody has a share
		state.slowStartCredit = min(1, state.slowStartCredit+(c.pickCount-state.creditedPicks)*slowStartShare*state.weight/total)
	}
	state.creditedPicks = c.pickCount
	return state.slowStartCredit >= 0
}
