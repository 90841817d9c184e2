package balancer

import (
	"fmt"
	"time"
)

// Example_retryBudget shows the retry budget: one retry per ten requests, up to ten saved up, and none for requests
// that another process has forwarded. 100 requests earn only 9 retries, because adding 0.1 one hundred times gives
// slightly less than 10 in floating point.
func Example_retryBudget() {
	balancer := newBalancer(DefaultConfig(), makeEndpoints(3))
	initial := 0
	for balancer.takeRetry(false) {
		initial++
	}
	for range 100 {
		balancer.RecordStart(0, 0)
	}
	earned := 0
	for balancer.takeRetry(false) {
		earned++
	}
	for range 1000 {
		balancer.RecordStart(0, 0)
	}
	fmt.Println(initial, earned, balancer.takeRetry(true), balancer.retryTokens)
	// Output: 10 9 false 10
}

// Example_decideRetry shows the decisions for different attempts and results. For one of them it also shows the
// decision after the budget is used up.
func Example_decideRetry() {
	config := DefaultConfig()
	config.RetryRatio, config.RetryBurst = 0, 1
	first := Attempt{Deadline: time.Second, MaxAttempts: 3, AttemptsMade: 1}
	expired, exhausted, idempotent := first, first, first
	expired.Deadline = 0
	exhausted.AttemptsMade = 3
	idempotent.Idempotent = true
	for _, test := range []struct {
		attempt Attempt
		result  AttemptResult
	}{
		{first, AttemptResult{Outcome: Succeeded}},
		{first, AttemptResult{Outcome: Rejected}},
		{first, AttemptResult{Outcome: Rejected, NoFailover: true}},
		{expired, AttemptResult{Outcome: Rejected}},
		{exhausted, AttemptResult{Outcome: Rejected}},
		{first, AttemptResult{Outcome: NoResponse}},
		{idempotent, AttemptResult{Outcome: NoResponse}},
		{first, AttemptResult{Outcome: NoResponse, NotSent: true}},
		{idempotent, AttemptResult{Outcome: Failed}},
	} {
		balancer := New(config)
		retries := func() bool {
			return balancer.DecideRetry(time.Millisecond, test.attempt, test.result) == RetryElsewhere
		}
		fmt.Print(retries(), " ")
		if test.attempt == first && test.result == (AttemptResult{Outcome: Rejected}) {
			fmt.Print(retries(), " ")
		}
	}
	// Output: false true false false false false false true true false
}
