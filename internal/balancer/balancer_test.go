package balancer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// makeNames returns numbered names.
func makeNames(prefix string, count int) (names []EndpointName) {
	for i := range count {
		names = append(names, EndpointName(fmt.Sprint(prefix, i)))
	}
	return names
}

// makeEndpoints returns endpoints of no zone, or of the named zones in turn.
func makeEndpoints(count int, zones ...string) (endpoints []Endpoint) {
	for i, name := range makeNames("m", count) {
		endpoint := Endpoint{Name: name, Capacity: 2}
		if len(zones) > 0 {
			endpoint.Zone = zones[i%len(zones)]
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func newBalancer(config Config, endpoints []Endpoint) *Balancer {
	balancer := New(config)
	balancer.SetEndpoints(0, endpoints)
	return balancer
}

// measureShares picks many times and returns how often each endpoint was picked, 1 for an even share.
func measureShares(balancer *Balancer, now time.Duration) []float64 {
	const picks = 20000
	random := rand.New(rand.NewPCG(1, 1)).Float64
	shares := make([]float64, balancer.Len())
	for range picks {
		index, _ := balancer.Pick(now, random, nil)
		shares[index] += float64(len(shares)) / picks
	}
	return shares
}

// Example_shares warms up an endpoint: a tenth at first, straight up with time. A suspect gets next to nothing, a
// larger endpoint more.
func Example_shares() {
	config := DefaultConfig()
	config.ChoiceCount = 1
	endpoints := makeEndpoints(4)
	endpoints[1].WarmUpRemaining, endpoints[1].WarmUp = 10*time.Second, 10*time.Second
	endpoints[2].Suspect = true
	endpoints[3].Capacity = 4
	balancer := newBalancer(config, endpoints)
	for _, now := range []time.Duration{0, 5 * time.Second, 10 * time.Second} {
		balancer.weightsStale, balancer.weightsAt = true, 0
		shares := measureShares(balancer, now)
		fmt.Printf("%v: warming up %.2f, suspect %.2f, larger %.2f\n",
			now, shares[1]/shares[0], shares[2]/shares[0], shares[3]/shares[0])
	}
	// Output:
	// 0s: warming up 0.10, suspect 0.02, larger 2.03
	// 5s: warming up 0.56, suspect 0.02, larger 2.01
	// 10s: warming up 1.02, suspect 0.02, larger 2.01
}

// Example_zones keeps all requests in the local zone while it has room; what does not fit goes to the others by the
// room that they have, without a step.
func Example_zones() {
	config := DefaultConfig()
	config.LocalZone, config.ChoiceCount = "a", 1
	for _, utilization := range []float64{0.5, 0.7, 0.8, 0.9, 1, 1.2, 1.5} {
		balancer := newBalancer(config, makeEndpoints(30, "a", "b", "c"))
		loads := map[string]float64{"a": utilization, "b": 0.5, "c": 0.9}
		for i := range balancer.Len() {
			balancer.RecordReport(0, i, 2*loads[balancer.endpoints[i].Zone], 0)
		}
		shares := measureShares(balancer, time.Second)
		byZone := map[string]float64{}
		for i, share := range shares {
			byZone[balancer.endpoints[i].Zone] += share / float64(len(shares))
		}
		fmt.Printf("local at %.1f: stays %.2f, to the empty one %.2f, to the full one %.2f\n",
			utilization, byZone["a"], byZone["b"], byZone["c"])
	}
	// Output:
	// local at 0.5: stays 1.00, to the empty one 0.00, to the full one 0.00
	// local at 0.7: stays 1.00, to the empty one 0.00, to the full one 0.00
	// local at 0.8: stays 0.93, to the empty one 0.05, to the full one 0.02
	// local at 0.9: stays 0.84, to the empty one 0.11, to the full one 0.05
	// local at 1.0: stays 0.75, to the empty one 0.18, to the full one 0.08
	// local at 1.2: stays 0.50, to the empty one 0.35, to the full one 0.15
	// local at 1.5: stays 0.21, to the empty one 0.55, to the full one 0.24
}
