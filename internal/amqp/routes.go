package amqp

import (
	"time"
)

// Routes decides to which broker a connection is made. It is pure; the first address is the preferred one.
type Routes struct {
	hops   []hop
	on     int // the one in use, -1 for none
	since  time.Duration
	chance func() float64
}

type hop struct {
	addr    string
	penalty time.Duration // how long it is left alone after the next failure
	until   time.Duration
	code    string // of its last failure
}

const (
	// The first penalty is some round trips, the longest what an operator waits for after mending a broker.
	firstPenalty, longestPenalty = 200 * time.Millisecond, 30 * time.Second
	// A connection that stood for so long pays its broker's penalties off; shorter, and it counts as flapping.
	steady = 10 * time.Second
	// How long a lesser broker is stayed with before the preferred is tried again.
	stay = 30 * time.Second
)

// NewRoutes begins with none in use. chance gives numbers between 0 and 1.
func NewRoutes(addrs []string, chance func() float64) *Routes {
	r := &Routes{on: -1, chance: chance}
	for _, a := range addrs {
		r.hops = append(r.hops, hop{addr: a, penalty: firstPenalty})
	}
	return r
}

// Pick gives the address to try now, or how long to wait: the first in order whose penalty is over, else the one whose is over
// first.
func (r *Routes) Pick(now time.Duration) (addr string, wait time.Duration) {
	soonest := time.Duration(-1)
	for _, h := range r.hops {
		if h.until <= now {
			return h.addr, 0
		}
		if left := h.until - now; soonest < 0 || left < soonest {
			soonest = left
		}
	}
	return "", max(soonest, time.Millisecond)
}

func (r *Routes) of(addr string) int {
	for i := range r.hops {
		if r.hops[i].addr == addr {
			return i
		}
	}
	return -1
}

// Up tells that a connection stands.
func (r *Routes) Up(now time.Duration, addr string) { r.on, r.since = r.of(addr), now }

// Down tells that a broker failed: it was not reached, it refused, or its connection broke. Danger: one that takes connections
// and drops them would have the consumer flap; only a connection that stood for a while takes its penalty back.
func (r *Routes) Down(now time.Duration, addr, code string) {
	i := r.of(addr)
	if i < 0 {
		return
	}
	h := &r.hops[i]
	if r.on == i {
		if now-r.since >= steady {
			h.penalty = firstPenalty
		}
		r.on = -1
	}
	// Half to one and a half times: consumers that a broker lost together do not come back together.
	h.until = now + h.penalty/2 + time.Duration(r.chance()*float64(h.penalty))
	h.penalty = min(2*h.penalty, longestPenalty)
	h.code = code
}

// Return tells whether to go back to the preferred broker, from a lesser one that was stayed with for a while.
func (r *Routes) Return(now time.Duration) bool {
	return r.on > 0 && now-r.since >= stay && r.hops[0].until <= now
}
