package balancer

import "time"

// Attempt is how far a request has come at a sender.
type Attempt struct {
	Deadline     time.Duration
	AttemptsMade int  // attempts made so far
	MaxAttempts  int  // attempts that may be made in all
	Idempotent   bool // it may run twice
	Forwarded    bool // another process has forwarded it to us, and retries by itself
}

// AttemptResult is how the last attempt ended.
type AttemptResult struct {
	Outcome    Outcome
	NotSent    bool // nothing of the request went out
	NoFailover bool // the endpoint says that no other will take it either
}

// RetryDecision is what follows an attempt.
type RetryDecision uint8

// The decisions.
const (
	ReturnResponse RetryDecision = iota // the attempt's result is the request's
	RetryElsewhere                      // another endpoint is tried
)

// DecideRetry decides what follows an attempt. Where the result proves that the request never ran, another endpoint may
// be tried, within the retry budget and while there is time for a request of mean latency. Where it proves nothing, a
// request that is idempotent may be retried, and any other has failed.
func (b *Balancer) DecideRetry(now time.Duration, attempt Attempt, result AttemptResult) RetryDecision {
	switch {
	case result.Outcome == Succeeded || result.Outcome == Failed || result.NoFailover:
		return ReturnResponse
	case result.Outcome == NoResponse && !result.NotSent && !attempt.Idempotent:
		return ReturnResponse
	case attempt.AttemptsMade >= attempt.MaxAttempts || now+seconds(b.meanLatency) >= attempt.Deadline:
		return ReturnResponse
	case !result.NotSent && !b.takeRetry(attempt.Forwarded): // what was not sent has cost no endpoint anything
		return ReturnResponse
	}
	return RetryElsewhere
}

// takeRetry takes a retry off the budget and reports whether there was one. When all endpoints are overloaded, each
// retry overloads them more, and layers that each retry multiply each other: so a request that was forwarded to us gets
// none.
func (b *Balancer) takeRetry(forwarded bool) bool {
	if forwarded || b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}
