package amqp

import (
	"time"
)

// brokerSelector decides to which broker a connection is made. It is pure; the first address is the preferred one.
type brokerSelector struct {
	brokers     []brokerState
	current     int // the one in use, -1 for none
	connectedAt time.Duration
	random      func() float64
}

type brokerState struct {
	url       string
	backoff   time.Duration // how long it is left alone after the next failure
	retryAt   time.Duration
	lastError string // of its last failure
}

const (
	// The first penalty is some round trips, the longest what an operator waits for after mending a broker.
	initialBackoff, maxBackoff = 200 * time.Millisecond, 30 * time.Second
	// A connection that stood for so long pays its broker's penalties off; shorter, and it counts as flapping.
	stableAfter = 10 * time.Second
	// How long a lesser broker is stayed with before the preferred is tried again.
	failbackAfter = 30 * time.Second
)

// newBrokerSelector begins with none in use. chance gives numbers between 0 and 1.
func newBrokerSelector(urls []string, random func() float64) *brokerSelector {
	r := &brokerSelector{current: -1, random: random}
	for _, url := range urls {
		r.brokers = append(r.brokers, brokerState{url: url, backoff: initialBackoff})
	}
	return r
}

// pick gives the address to try now, or how long to wait: the first in order whose penalty is over, else the one whose is over
// first.
func (r *brokerSelector) pick(now time.Duration) (url string, wait time.Duration) {
	soonest := time.Duration(-1)
	for _, broker := range r.brokers {
		if broker.retryAt <= now {
			return broker.url, 0
		}
		if remaining := broker.retryAt - now; soonest < 0 || remaining < soonest {
			soonest = remaining
		}
	}
	return "", max(soonest, time.Millisecond)
}

func (r *brokerSelector) indexOf(url string) int {
	for i := range r.brokers {
		if r.brokers[i].url == url {
			return i
		}
	}
	return -1
}

// connected tells that a connection stands.
func (r *brokerSelector) connected(now time.Duration, url string) {
	r.current, r.connectedAt = r.indexOf(url), now
}

// failed tells that a broker failed: it was not reached, it refused, or its connection broke. Danger: one that takes connections
// and drops them would have the consumer flap; only a connection that stood for a while takes its penalty back.
func (r *brokerSelector) failed(now time.Duration, url, code string) {
	i := r.indexOf(url)
	if i < 0 {
		return
	}
	broker := &r.brokers[i]
	if r.current == i {
		if now-r.connectedAt >= stableAfter {
			broker.backoff = initialBackoff
		}
		r.current = -1
	}
	// Half to one and a half times: consumers that a broker lost together do not come back together.
	broker.retryAt = now + broker.backoff/2 + time.Duration(r.random()*float64(broker.backoff))
	broker.backoff = min(2*broker.backoff, maxBackoff)
	broker.lastError = code
}

// shouldFailBack tells whether to go back to the preferred broker, from a lesser one that was stayed with for a while.
func (r *brokerSelector) shouldFailBack(now time.Duration) bool {
	return r.current > 0 && now-r.connectedAt >= failbackAfter && r.brokers[0].retryAt <= now
}
