package admission

import (
	"cmp"
	"slices"
	"time"
)

// The start order: the paper's section 3.3.

const (
	// urgentRunTimeShare is the paper's alpha: the run time as a share of the slack from which a request is urgent. At 1 it
	// would be one that already misses.
	urgentRunTimeShare = 0.5
	// minSlack is the paper's epsilon: it keeps the division defined when no slack is left.
	minSlack = time.Millisecond
	// protectedRank is the rank from which a request is protected where all classes have one weight.
	protectedRank = 0.8
)

// The first level of the key. A request beyond its tenant's quota stands one level lower.
const (
	levelProtected = 0
	levelUsual     = 1
)

// The second level of the key.
const (
	urgencyUrgent  = 0
	urgencyRelaxed = 1
)

// candidate is one queued request with its place in the order, worked out once a round.
type candidate struct {
	request *trackedRequest
	level   int           // the paper's 1-g
	urgency int           // the paper's 1-urgent
	work    time.Duration // the paper's r
	slack   time.Duration // the paper's s
	runTime time.Duration // the paper's T with those running now
}

// startOrder sorts the queue.
type startOrder struct {
	weightBands int // number of different priority weights
	candidates  []candidate
}

func newStartOrder(classes map[Class]*classState) startOrder {
	weights := map[float64]bool{}
	for _, class := range classes {
		weights[class.Weight] = true
	}
	return startOrder{weightBands: len(weights)}
}

// isProtected is the paper's safeguard flag g, from the rank: the band of the highest weight, as ranks give each weight
// a band of equal width.
func (o *startOrder) isProtected(r *trackedRequest) bool {
	if o.weightBands < 2 {
		return r.Rank >= protectedRank
	}
	return r.Rank >= 1-1/float64(o.weightBands)
}

// sortQueue sorts the queue by (1-g, 1-urgent, r): protected first, then urgent, then least work. Equations 10 to 13.
// The result is valid until the next call.
func (c *Controller) sortQueue(now time.Duration) []candidate {
	candidates := c.order.candidates[:0]
	for _, r := range c.requests.queue {
		k := candidate{
			request: r,
			level:   levelUsual,
			urgency: urgencyRelaxed,
			work:    c.estimatedWork(r, now),
			slack:   r.slack(now),
		}
		k.runTime = time.Duration(float64(k.work) * runsPerCore(float64(len(c.requests.running)), c.cores))
		if float64(k.runTime)/float64(max(k.slack, minSlack)) > urgentRunTimeShare {
			k.urgency = urgencyUrgent
		}
		if c.order.isProtected(r) {
			k.level = levelProtected
		}
		if r.overQuota {
			k.level++
		}
		candidates = append(candidates, k)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.work, b.work))
	})
	c.order.candidates = candidates
	return candidates
}

// removeCandidate removes a request that has left the queue, in place.
func removeCandidate(candidates []candidate, r *trackedRequest) []candidate {
	return slices.DeleteFunc(candidates, func(k candidate) bool { return k.request == r })
}
