package balancer

import (
	"fmt"
	"time"
)

// Example_retryBudget earns retries: one in ten requests, a few saved up, never for what is forwarded to us.
func Example_retryBudget() {
	balancer := newBalancer(DefaultConfig(), makeEndpoints(3))
	atFirst := 0
	for balancer.takeRetry(false) {
		atFirst++
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
	fmt.Println(atFirst, earned, balancer.takeRetry(true), balancer.retryTokens)
	// Output: 10 9 false 10
}

// Example_decideRetry shows what follows an attempt, by how it ended; and again where the budget is used up.
func Example_decideRetry() {
	config := DefaultConfig()
	config.RetryRatio, config.RetryBurst = 0, 1
	fresh := Attempt{Deadline: time.Second, MaxAttempts: 3, Made: 1}
	expired, exhausted, idempotent := fresh, fresh, fresh
	expired.Deadline = 0
	exhausted.Made = 3
	idempotent.Idempotent = true
	for _, test := range []struct {
		attempt Attempt
		result  AttemptResult
	}{
		{fresh, AttemptResult{Outcome: Succeeded}},
		{fresh, AttemptResult{Outcome: Rejected}},
		{fresh, AttemptResult{Outcome: Rejected, NoFailover: true}},
		{expired, AttemptResult{Outcome: Rejected}},
		{exhausted, AttemptResult{Outcome: Rejected}},
		{fresh, AttemptResult{Outcome: NoResponse}},
		{idempotent, AttemptResult{Outcome: NoResponse}},
		{fresh, AttemptResult{Outcome: NoResponse, NotSent: true}},
		{idempotent, AttemptResult{Outcome: Failed}},
	} {
		balancer := New(config)
		retries := func() bool {
			return balancer.DecideRetry(time.Millisecond, test.attempt, test.result) == RetryElsewhere
		}
		fmt.Print(retries(), " ")
		if test.attempt == fresh && test.result == (AttemptResult{Outcome: Rejected}) {
			fmt.Print(retries(), " ")
		}
	}
	// Output: false true false false false false false true true false
}
