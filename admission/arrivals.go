package admission

import (
	"math"
	"slices"
	"time"
)

const (
	arrivalHistorySize = 64
	// minArrivals is the number under which the last arrivals say nothing of all callers.
	minArrivals = 16
	// queueDelayWindow is how far back queue delays count.
	queueDelayWindow = 500 * time.Millisecond
	// deadlineShareTolerance is the difference of two shares of the timeout that are taken for the same. Clocks are in
	// microseconds; two different ones this near are rare among the arrivals kept.
	deadlineShareTolerance = 0.005
)

// arrival is what is remembered of a request that was read.
type arrival struct {
	at            time.Duration
	queueDelay    time.Duration
	caller        CallerID
	rank          float64
	deadlineShare float64 // time from arrival to deadline, as a share of the class's timeout
	isRetry       bool
}

// arrivalHistory holds the last arrivals, for their spread over callers and ranks.
type arrivalHistory struct{ recent []arrival }

func (h *arrivalHistory) add(a arrival) { h.recent = appendRecent(h.recent, a, arrivalHistorySize) }

// hasTooFew tells whether the arrivals are too few to go by.
func (h *arrivalHistory) hasTooFew() bool { return len(h.recent) < minArrivals }

// earlierAttemptTime is the time that a request's earlier attempts took, as far as it shows. Callers name the same share
// of the timeout for each first attempt, and what is left of it for a retry; so a share that hardly any of the last
// arrivals had is that of a retry. An attempt with a full timeout of its own shows nothing. Without this, retries whose
// objective has passed would take the cores from requests that can still meet theirs.
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

// callerSpread is the number of callers over which the arrivals are spread, those with more arrivals counting more
// (the inverse of the sum of squared shares); without arrivals it is the number configured, at least 1.
func (h *arrivalHistory) callerSpread(configured float64) float64 {
	counts := map[CallerID]float64{}
	for _, a := range h.recent {
		counts[a.caller]++
	}
	var squares float64
	for _, n := range counts { // whole numbers: their sum does not depend on the order
		squares += n * n
	}
	if squares == 0 {
		return max(1, configured)
	}
	total := float64(len(h.recent))
	return total * total / squares
}

// connectionReuse is how often callers came again within an idle timeout, and how long their connections were open and
// unused for that.
type connectionReuse struct {
	reuses  int
	idleTime time.Duration
}

func (h *arrivalHistory) connectionReuse(now, idleTimeout time.Duration) connectionReuse {
	var reuse connectionReuse
	next := map[CallerID]time.Duration{} // the caller's following arrival
	for _, a := range slices.Backward(h.recent) {
		until, cameAgain := next[a.caller]
		if !cameAgain {
			until = now
		} else if until-a.at <= idleTimeout {
			reuse.reuses++
		}
		reuse.idleTime += min(until-a.at, idleTimeout)
		next[a.caller] = a.at
	}
	return reuse
}

// maxRecentQueueDelay is how long requests have lately lain unread, at worst. Reading takes the cores while the queue is
// short, and what was read has spent its time already.
func (h *arrivalHistory) maxRecentQueueDelay(now time.Duration) time.Duration {
	var longest time.Duration
	for _, a := range h.recent {
		if a.at > now-queueDelayWindow {
			longest = max(longest, a.queueDelay)
		}
	}
	return longest
}

// retryShare is the share of the arrivals that are marked as retries.
func (h *arrivalHistory) retryShare() float64 {
	retries := 0
	for _, a := range h.recent {
		if a.isRetry {
			retries++
		}
	}
	return float64(retries) / float64(max(1, len(h.recent)))
}

// sortedRanks lists the ranks of the arrivals, lowest first.
func (h *arrivalHistory) sortedRanks() []float64 {
	ranks := make([]float64, 0, len(h.recent))
	for _, a := range h.recent {
		ranks = append(ranks, a.rank)
	}
	slices.Sort(ranks)
	return ranks
}
