package admission

import (
	"cmp"
	"slices"
	"time"
)

// The start order: the paper's section 3.3.

const (
	// urgentRunTimeShare is the paper's alpha: a request is urgent if its run time is greater than this share of
	// its slack. At 1, only requests that would miss their objective even if they started now would be urgent.
	urgentRunTimeShare = 0.5
	// minSlack is the paper's epsilon: it keeps the division defined when no slack remains.
	minSlack = time.Millisecond
	// protectedRank is the rank from which requests are protected if all classes have the same weight.
	protectedRank = 0.8
)

// First level of the sort key, in ascending order. It is 1 greater for requests beyond their tenant's quota.
const (
	levelProtected = 0
	levelUsual     = 1
)

// Second level of the sort key, in ascending order.
const (
	urgencyUrgent  = 0
	urgencyRelaxed = 1
)

// candidate is a queued request with its sort key. The key is computed once per call of startRequests.
type candidate struct {
	request *trackedRequest
	level   int           // the paper's 1-g, plus 1 beyond the quota
	urgency int           // the paper's 1-urgent
	work    time.Duration // the paper's r
	slack   time.Duration // the paper's s
	runTime time.Duration // the paper's T with the currently running requests
}

// startOrder holds the data for sorting the queue.
type startOrder struct {
	weightBands int         // number of different priority weights
	candidates  []candidate // buffer for the result of sortQueue, reused
}

func newStartOrder(classes map[Class]*classState) startOrder {
	weights := map[float64]bool{}
	for _, class := range classes {
		weights[class.Weight] = true
	}
	return startOrder{weightBands: len(weights)}
}

// isProtected reports whether a request is protected: the paper's safeguard flag g. Each weight has a band of ranks of
// equal width. The rank of a protected request is in the band of the highest weight, or is at least protectedRank if
// there is only one weight.
func (o *startOrder) isProtected(r *trackedRequest) bool {
	if o.weightBands < 2 {
		return r.Rank >= protectedRank
	}
	return r.Rank >= 1-1/float64(o.weightBands)
}

// sortQueue returns the queue sorted by (1-g, 1-urgent, r): protected requests first, then urgent ones, then those
// with the least work, as in equations 10 to 13. The first level is 1 greater for requests beyond their tenant's
// quota. The result is valid until the next call.
func (c *Controller) sortQueue(now time.Duration) []candidate {
	candidates := c.order.candidates[:0]
	for _, r := range c.requests.queue {
		cand := candidate{
			request: r,
			level:   levelUsual,
			urgency: urgencyRelaxed,
			work:    c.estimatedWork(r, now),
			slack:   r.slack(now),
		}
		cand.runTime = time.Duration(float64(cand.work) * runsPerCore(float64(len(c.requests.running)), c.cores))
		if float64(cand.runTime)/float64(max(cand.slack, minSlack)) > urgentRunTimeShare {
			cand.urgency = urgencyUrgent
		}
		if c.order.isProtected(r) {
			cand.level = levelProtected
		}
		if r.overQuota {
			cand.level++
		}
		candidates = append(candidates, cand)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.work, b.work))
	})
	c.order.candidates = candidates
	return candidates
}

// removeCandidate removes the candidate of a request that has left the queue, in place.
func removeCandidate(candidates []candidate, r *trackedRequest) []candidate {
	return slices.DeleteFunc(candidates, func(cand candidate) bool { return cand.request == r })
}
