package amqp

import (
	"time"
)

const (
	// initialBackoff lasts some round trips. maxBackoff is the longest that an operator waits for the consumer to
	// reconnect after repairing a broker, apart from the random variation.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 30 * time.Second
	// stableAfter is how long a connection must last to reset its broker's backoff.
	stableAfter = 10 * time.Second
	// failbackAfter is how long another broker is used before the consumer returns to the preferred one.
	failbackAfter = 30 * time.Second
	// minPickDelay keeps pick from being called repeatedly in quick succession when a backoff has almost expired.
	minPickDelay = time.Millisecond
)

// brokerSelector selects the broker to connect to. The first broker is the preferred one. It does no I/O and must be
// used by one goroutine only. All times are by that goroutine's clock.
type brokerSelector struct {
	brokers     []brokerState
	current     int // index of the connected broker, or -1
	connectedAt time.Duration
	random      func() float64 // returns a number of at least 0 and less than 1
}

type brokerState struct {
	url     string
	backoff time.Duration // mean delay after the next failure
	retryAt time.Duration // when the broker may be tried again
}

// newBrokerSelector returns a selector with no broker connected.
func newBrokerSelector(urls []string, random func() float64) *brokerSelector {
	s := &brokerSelector{current: -1, random: random}
	for _, url := range urls {
		s.brokers = append(s.brokers, brokerState{url: url, backoff: initialBackoff})
	}
	return s
}

// pick returns the first broker whose backoff has expired. If there is none, it returns how long to wait.
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

// indexOf returns the index of the broker with the URL, or -1.
func (s *brokerSelector) indexOf(url string) int {
	for i := range s.brokers {
		if s.brokers[i].url == url {
			return i
		}
	}
	return -1
}

// onConnected records that a connection to the broker was opened.
func (s *brokerSelector) onConnected(now time.Duration, url string) {
	s.current = s.indexOf(url)
	s.connectedAt = now
}

// onFailure records that the connection to a broker could not be opened or has ended. Only the end of a connection that
// lasted for stableAfter resets the backoff. Otherwise a broker that accepts connections and drops them would make the
// consumer reconnect at short intervals.
func (s *brokerSelector) onFailure(now time.Duration, url string) {
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
	// Random between 0.5 and 1.5 times the backoff, so that consumers that lost a broker together reconnect separately.
	broker.retryAt = now + broker.backoff/2 + time.Duration(s.random()*float64(broker.backoff))
	broker.backoff = min(2*broker.backoff, maxBackoff)
}

// shouldFailBack reports whether to return to the preferred broker, after another one has been used for failbackAfter.
func (s *brokerSelector) shouldFailBack(now time.Duration) bool {
	return s.current > 0 && now-s.connectedAt >= failbackAfter && s.brokers[0].retryAt <= now
}
