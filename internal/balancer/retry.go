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

// DecideRetry decides whether a request is retried after an attempt. If the result proves that the request has not run,
// or if the request is idempotent and there was no response, another endpoint may be tried: within the retry budget,
// and if the time until the deadline exceeds the mean latency. Any other request that may have run is not retried.
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
// retry adds to the overload, and retries of several layers multiply. Therefore a request that another process has
// forwarded gets no retry from the budget.
func (b *Balancer) takeRetry(forwarded bool) bool {
	if forwarded || b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}
