package amqp

import (
	"time"
)

const (
	// initialBackoff is some round trips, maxBackoff what an operator waits for after repairing a broker.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// stableAfter is how long a connection has to last to reset its broker's backoff.
	stableAfter = 10 * time.Second
	// failbackAfter is how long another broker is used before the preferred one is tried again.
	failbackAfter = 30 * time.Second
	// minPickDelay keeps pick from being called again and again for a backoff that is all but over.
	minPickDelay = time.Millisecond
)

// brokerSelector decides which broker to connect to; the first is the preferred one. It does no I/O and belongs to one
// goroutine. Times are by that goroutine's clock.
type brokerSelector struct {
	brokers     []brokerState
	current     int // index of the connected broker, -1 for none
	connectedAt time.Duration
	random      func() float64 // from 0 to under 1
}

type brokerState struct {
	url     string
	backoff time.Duration // after the next failure
	retryAt time.Duration
}

// newBrokerSelector returns a selector with no broker connected.
func newBrokerSelector(urls []string, random func() float64) *brokerSelector {
	s := &brokerSelector{current: -1, random: random}
	for _, url := range urls {
		s.brokers = append(s.brokers, brokerState{url: url, backoff: initialBackoff})
	}
	return s
}

// pick returns the broker to try now, the first whose backoff is over, or else how long to wait.
func (s *brokerSelector) pick(now time.Duration) (url string, wait time.Duration) {
	soonest := time.Duration(-1)
	for _, broker := range s.brokers {
		if broker.retryAt <= now {
			return broker.url, 0
		}
		if remaining := broker.retryAt - now; soonest < 0 || remaining < soonest {
			soonest = remaining
		}
	}
	return "", max(soonest, minPickDelay)
}

func (s *brokerSelector) indexOf(url string) int {
	for i := range s.brokers {
		if s.brokers[i].url == url {
			return i
		}
	}
	return -1
}

// connected says that a broker is connected.
func (s *brokerSelector) connected(now time.Duration, url string) {
	s.current = s.indexOf(url)
	s.connectedAt = now
}

// failed says that a broker was not reached, refused the connection or lost it. Only a connection that lasted resets
// the backoff: a broker that accepts connections and drops them would otherwise have the consumer flap.
func (s *brokerSelector) failed(now time.Duration, url string) {
	i := s.indexOf(url)
	if i < 0 {
		return
	}
	broker := &s.brokers[i]
	if s.current == i {
		if now-s.connectedAt >= stableAfter {
			broker.backoff = initialBackoff
		}
		s.current = -1
	}
	// From half to one and a half times, so that consumers that a broker lost together do not come back together.
	broker.retryAt = now + broker.backoff/2 + time.Duration(s.random()*float64(broker.backoff))
	broker.backoff = min(2*broker.backoff, maxBackoff)
}

// shouldFailBack tells whether to return to the preferred broker, from another one that was used for a while.
func (s *brokerSelector) shouldFailBack(now time.Duration) bool {
	return s.current > 0 && now-s.connectedAt >= failbackAfter && s.brokers[0].retryAt <= now
}
