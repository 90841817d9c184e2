package balancer

import "time"

// slowStartShare is the part of its drawn share that an endpoint which is warming up gets: the sum over all senders
// then stays under what it bears, where their shares are uneven, too.
const slowStartShare = 0.75

// slowStartAllows reports whether an endpoint may be given a request now, as far as its warming up goes.
//
// An endpoint that is warming up has little to do. So of a few that are drawn it is the least loaded one each time, for
// every sender, and would get several times its weight from all of them together. So each sender gives it no more than
// its weight of the sender's own requests, and that is its weight of the fleet's, however many others send. Each sender
// begins at a drawn point between two requests, lest hundreds give it their first one together.
func (b *Balancer) slowStartAllows(now time.Duration, state *endpointState, random func() float64) bool {
	if !state.warmingUp(now) {
		return true
	}
	if !state.slowStartBegun {
		state.slowStartBegun = true
		state.slowStartCredit = -random()
		state.creditedPicks = b.pickCount
	}
	if total := b.totalWeight(); total > 0 { // 0: all of them are ejected
		earned := (b.pickCount - state.creditedPicks) * slowStartShare * state.weight / total
		state.slowStartCredit = min(1, state.slowStartCredit+earned)
	}
	state.creditedPicks = b.pickCount
	return state.slowStartCredit >= 0
}
