package admission

import (
	"math"
	"slices"
	"time"
)

const (
	arrivalHistorySize = 64
	// minArrivals is the number of arrivals below which they do not represent all callers.
	minArrivals = 16
	// queueDelayWindow is the period over which queue delays are considered.
	queueDelayWindow = 500 * time.Millisecond
	// deadlineShareTolerance is the difference below which two shares of the timeout count as equal. Clocks have a
	// resolution of microseconds, and two different shares rarely differ by so little among the arrivals kept.
	deadlineShareTolerance = 0.005
)

// arrival records a request that was read.
type arrival struct {
	at            time.Duration
	queueDelay    time.Duration
	caller        CallerID
	rank          float64
	deadlineShare float64 // time from arrival to deadline, as a share of the class's timeout
	isRetry       bool
}

// arrivalHistory holds the most recent arrivals. It shows how they are spread over callers and ranks.
type arrivalHistory struct{ recent []arrival }

func (h *arrivalHistory) add(a arrival) { h.recent = appendRecent(h.recent, a, arrivalHistorySize) }

// hasTooFew reports whether there are too few arrivals to draw conclusions from.
func (h *arrivalHistory) hasTooFew() bool { return len(h.recent) < minArrivals }

// earlierAttemptTime estimates the time that a request's earlier attempts took, 0 if they cannot be detected.
// Callers set the deadline of each first attempt to the same share of the timeout, and that of a retry to the
// remaining time. A share that hardly any recent arrival has therefore marks a retry. An attempt with a full
// timeout of its own cannot be detected. Without this estimate, retries whose objective has passed would take the
// cores from requests that can still meet theirs.
func (h *arrivalHistory) earlierAttemptTime(r *trackedRequest, deadlineShare float64) time.Duration {
	if !r.HasDeadline || h.hasTooFew() {
		return 0
	}
	same := 0
	for _, a := range h.recent {
		if math.Abs(a.deadlineShare-deadlineShare) < deadlineShareTolerance {
			same++
		}
	}
	if same >= 2 {
		return 0
	}
	return max(0, r.class.Timeout-(r.deadline-r.arrivedAt))
}

// callerSpread returns the effective number of callers of the arrivals: the inverse of the sum of squared shares,
// in which callers with more arrivals weigh more. Without arrivals it is the configured number, at least 1.
func (h *arrivalHistory) callerSpread(configured float64) float64 {
	counts := map[CallerID]float64{}
	for _, a := range h.recent {
		counts[a.caller]++
	}
	var squareSum float64
	for _, n := range counts { // integer values: their sum does not depend on the iteration order
		squareSum += n * n
	}
	if squareSum == 0 {
		return max(1, configured)
	}
	total := float64(len(h.recent))
	return total * total / squareSum
}

// connectionReuse counts the arrivals whose caller sent another request within an idle timeout, and sums the time
// for which connections were open and unused.
type connectionReuse struct {
	count    int
	idleTime time.Duration
}

func (h *arrivalHistory) connectionReuse(now, idleTimeout time.Duration) connectionReuse {
	var reuse connectionReuse
	next := map[CallerID]time.Duration{} // the caller's next arrival
	for _, a := range slices.Backward(h.recent) {
		until, hasNext := next[a.caller]
		if !hasNext {
			until = now
		} else if until-a.at <= idleTimeout {
			reuse.count++
		}
		reuse.idleTime += min(until-a.at, idleTimeout)
		next[a.caller] = a.at
	}
	return reuse
}

// maxRecentQueueDelay returns the longest time that a recently read request had waited unread. If reading
// requests occupies the cores, the queue is short, although requests have used up part of their time before they are
// read.
func (h *arrivalHistory) maxRecentQueueDelay(now time.Duration) time.Duration {
	var longest time.Duration
	for _, a := range h.recent {
		if a.at > now-queueDelayWindow {
			longest = max(longest, a.queueDelay)
		}
	}
	return longest
}

// retryShare returns the share of the arrivals that are marked as retries.
func (h *arrivalHistory) retryShare() float64 {
	retries := 0
	for _, a := range h.recent {
		if a.isRetry {
			retries++
		}
	}
	return float64(retries) / float64(max(1, len(h.recent)))
}

// sortedRanks returns the ranks of the arrivals in ascending order.
func (h *arrivalHistory) sortedRanks() []float64 {
	ranks := make([]float64, 0, len(h.recent))
	for _, a := range h.recent {
		ranks = append(ranks, a.rank)
	}
	slices.Sort(ranks)
	return ranks
}
