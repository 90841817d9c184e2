package balancer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// makeNames returns count names, numbered from 0.
func makeNames(prefix string, count int) (names []EndpointName) {
	for i := range count {
		names = append(names, EndpointName(fmt.Sprint(prefix, i)))
	}
	return names
}

// makeEndpoints returns endpoints with 2 cores each, without a zone or in the given zones in turn.
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

// measureShares picks 20,000 times and returns each endpoint's share of the picks, where 1 is an even share.
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

// Example_shares shows the shares of endpoints. One that is warming up starts with a tenth of its share, which grows
// linearly with time. A suspect receives almost no requests, and a larger endpoint more than the others.
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

// Example_zones shows that all requests stay in the local zone, a, up to a utilization of LocalZoneUtilization. The
// excess grows continuously with the utilization, and is divided among the other zones in proportion to their spare
// capacity.
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
		fmt.Printf("local zone at %.1f: local %.2f, zone at 0.5 %.2f, zone at 0.9 %.2f\n",
			utilization, byZone["a"], byZone["b"], byZone["c"])
	}
	// Output:
	// local zone at 0.5: local 1.00, zone at 0.5 0.00, zone at 0.9 0.00
	// local zone at 0.7: local 1.00, zone at 0.5 0.00, zone at 0.9 0.00
	// local zone at 0.8: local 0.93, zone at 0.5 0.05, zone at 0.9 0.02
	// local zone at 0.9: local 0.84, zone at 0.5 0.11, zone at 0.9 0.05
	// local zone at 1.0: local 0.75, zone at 0.5 0.18, zone at 0.9 0.08
	// local zone at 1.2: local 0.50, zone at 0.5 0.35, zone at 0.9 0.15
	// local zone at 1.5: local 0.21, zone at 0.5 0.55, zone at 0.9 0.24
}
