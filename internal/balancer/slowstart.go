package balancer

import "time"

// slowStartShare is the fraction of its share by weight that an endpoint receives while it is warming up. It keeps the
// requests of all senders together below the endpoint's reduced capacity even if the senders' request rates are uneven.
const slowStartShare = 0.75

// slowStartAllows reports whether the slow start limit allows a request to an endpoint now. It always returns true for
// an endpoint that is not warming up. Otherwise it first adds the credit that was earned since the last call.
//
// An endpoint that is warming up has few requests in progress. It is therefore the least loaded in every draw of every
// sender, and would receive several times its share by weight from all senders together. Each sender therefore sends
// it at most slowStartShare of the endpoint's share by weight of the sender's own requests. For any number of senders,
// this adds up to slowStartShare of the endpoint's share of the fleet's requests. The credit starts at a random value
// between -1 and 0 at each sender, so that hundreds of senders do not send their first request at the same time.
func (b *Balancer) slowStartAllows(now time.Duration, state *endpointState, random func() float64) bool {
	if !state.warmingUp(now) {
		return true
	}
	if !state.slowStartBegun {
		state.slowStartBegun = true
		state.slowStartCredit = -random()
		state.creditedPicks = b.pickCount
	}
	if total := b.totalWeight(); total > 0 { // 0: all endpoints are ejected
		earned := (b.pickCount - state.creditedPicks) * slowStartShare * state.weight / total
		state.slowStartCredit = min(1, state.slowStartCredit+earned)
	}
	state.creditedPicks = b.pickCount
	return state.slowStartCredit >= 0
}
