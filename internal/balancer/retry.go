package balancer

import "time"

// Attempt describes the progress of a request at its sender.
type Attempt struct {
	Deadline     time.Duration
	AttemptsMade int  // number of attempts made so far
	MaxAttempts  int  // maximum total number of attempts
	Idempotent   bool // whether the request may run twice
	Forwarded    bool // whether another process has forwarded the request, and retries it itself
}

// AttemptResult is the result of the last attempt.
type AttemptResult struct {
	Outcome    Outcome
	NotSent    bool // whether nothing of the request was sent
	NoFailover bool // whether the endpoint has reported that other endpoints will not accept the request either
}

// RetryDecision is the action that follows an attempt.
type RetryDecision uint8

// The decisions.
const (
	ReturnResponse RetryDecision = iota // return the attempt's result as the result of the request
	RetryElsewhere                      // try another endpoint
)

// DecideRetry decides whether a request is retried at another endpoint after an attempt. A request can be retried if
// the result proves that it has not run, or if it is idempotent and there was no response. Any other request that may
// have run is not retried. A retry also requires that NoFailover is not set, that fewer than MaxAttempts attempts were
// made, that the time until the deadline exceeds the mean latency, and that the retry budget is not used up. A retry
// after an attempt that was not sent does not use the budget.
func (b *Balancer) DecideRetry(now time.Duration, attempt Attempt, result AttemptResult) RetryDecision {
	switch {
	case result.Outcome == Succeeded || result.Outcome == Failed || result.NoFailover:
		return ReturnResponse
	case result.Outcome == NoResponse && !result.NotSent && !attempt.Idempotent:
		return ReturnResponse
	case attempt.AttemptsMade >= attempt.MaxAttempts || now+seconds(b.meanLatency) >= attempt.Deadline:
		return ReturnResponse
	case !result.NotSent && !b.takeRetry(attempt.Forwarded): // an attempt that was not sent put no load on an endpoint
		return ReturnResponse
	}
	return RetryElsewhere
}

// takeRetry takes a retry from the budget and reports whether there was one. When all endpoints are overloaded, each
// retry adds to the overload, and retries at several layers multiply. Therefore a request that another process has
// forwarded gets no retry from the budget.
func (b *Balancer) takeRetry(forwarded bool) bool {
	if forwarded || b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}
