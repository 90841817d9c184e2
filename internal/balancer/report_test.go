package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Example_invalidReports shows that reports are ignored if they are out of range or older than the last one. A
// rejection means that an endpoint is overloaded, and does not count as a failure.
func Example_invalidReports() {
	balancer := newBalancer(DefaultConfig(), makeEndpoints(3))
	for i := range 3 {
		balancer.RecordReport(time.Second, i, 2, 0)
	}
	for _, report := range []struct {
		load float64
		age  time.Duration
	}{{-1, 0}, {1e9, 0}, {0, -time.Second}, {0, time.Second}, {0, 10 * time.Second}} {
		balancer.RecordReport(time.Second, 0, report.load, report.age)
	}
	fmt.Println(balancer.endpoints[0].reportedLoad, balancer.endpoints[0].reportedAt)
	balancer.RecordStart(time.Second, 1)
	balancer.RecordOutcome(time.Second, "m1", Rejected, 0)
	fmt.Println(balancer.endpoints[1].reportedLoad > balancer.endpoints[0].reportedLoad, balancer.endpoints[1].failures)
	balancer.RecordOutcome(time.Second, "gone", Succeeded, time.Second) // of an endpoint that has been removed
	pick := func(excluded func(index int) bool) (int, bool) {
		return balancer.Pick(time.Second, rand.New(rand.NewPCG(1, 1)).Float64, excluded)
	}
	index, ok := pick(func(index int) bool { return index != 2 })
	_, none := pick(func(int) bool { return true })
	fmt.Println(index, ok, none)
	// Output:
	// 1 1s
	// true 0
	// 2 true false
}

// Example_reportDecay shows the weight of a report: full at first, half of it after the half-life, none beyond
// LoadMaxAge. Requests started since the report are added. Each probe's answer is used for only one request. Endpoints
// with equal reports receive about equal shares.
func Example_reportDecay() {
	config := DefaultConfig()
	config.LoadHalfLife, config.ChoiceCount = 100*time.Millisecond, 1
	balancer := newBalancer(config, makeEndpoints(4))
	for i := range 4 {
		balancer.RecordProbe(0, i, float64(4*i), 0)
	}
	balancer.recomputeWeights(0)
	first := balancer.endpoints[0]
	for _, now := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second} {
		fmt.Printf("%v: %.2f of mean %.0f\n", now, balancer.estimatedLoad(now, first), balancer.meanLoad)
	}
	balancer.RecordStart(0, 0)
	fmt.Printf("%.2f\n", balancer.estimatedLoad(0, first))
	unused := 0
	for _, probed := range balancer.probePool {
		if probed == first {
			unused++
		}
	}
	fmt.Println(unused)
	balancer = newBalancer(config, makeEndpoints(16))
	for i := range 16 {
		balancer.RecordProbe(0, i, 1, 0)
	}
	shares := measureShares(balancer, 0)
	fmt.Println(slices.Min(shares) > 0.7, slices.Max(shares) < 1.3)
	// Output:
	// 0s: 0.00 of mean 3
	// 100ms: 1.50 of mean 3
	// 300ms: 2.62 of mean 3
	// 10s: 3.00 of mean 3
	// 0.50
	// 0
	// true true
}
