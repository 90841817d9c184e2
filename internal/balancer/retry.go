package balancer

import "time"

// Attempt is how far an op has come at a decider.
type Attempt struct {
	Deadline   time.Duration
	Made       int  // that were made
	Max        int  // that may be made
	Idempotent bool // it may run twice
	Forwarded  bool // another process has passed it on to us, and tries again by itself
}

// RetryDecision is what comes next of an op.
type RetryDecision uint8

const (
	ReturnResponse RetryDecision = iota // what came back is its answer
	RetryElsewhere                      // another member is asked
)

// DecideRetry decides what becomes of an op whose try has ended. unsent tells that nothing of it went out. What proves that the op never ran
// lets another be asked, within the budget and while there is time for an op as it usually takes; what proves nothing lets one that
// may run twice be tried again and is an honest failure of one that may not.
func (c *Balancer) DecideRetry(now time.Duration, attempt Attempt, outcome Outcome, unsent, noFailover bool) RetryDecision {
	switch {
	case outcome == Succeeded || outcome == Failed || noFailover:
		return ReturnResponse
	case outcome == NoResponse && !unsent && !attempt.Idempotent:
		return ReturnResponse
	case attempt.Made >= attempt.Max || now+time.Duration(c.meanLatency*float64(time.Second)) >= attempt.Deadline:
		return ReturnResponse
	// Where nothing went out nobody below has had work by it, so it costs no budget.
	case !unsent && !c.takeRetry(attempt.Forwarded):
		return ReturnResponse
	}
	return RetryElsewhere
}

// takeRetry asks whether a second try is within the budget, and takes it off. Danger: when all are full, each op that is tried twice
// makes them fuller, and layers that each try again multiply each other; so an op that is a repeat already gets none.
func (c *Balancer) takeRetry(forwarded bool) bool {
	if forwarded || c.retryTokens < 1 {
		return false
	}
	c.retryTokens--
	return true
}
