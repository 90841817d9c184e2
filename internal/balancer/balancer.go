// Package balancer decides which of many endpoints gets the next request, where each process that decides sends a
// small part of the requests, and what it knows of the endpoints' load is sparse and old.
//
// It is pure: time and randomness are arguments, and what is believed of the endpoints is handed in by methods.
// Times are durations since an origin that the caller chooses, the same for all calls. docs/balancing.md compares the
// policies.
package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config is what the decisions go by.
type Config struct {
	Policy      Policy // how an endpoint is picked; LeastEstimatedLoad unless configured
	LocalZone   string // our own; empty: zones don't matter
	ChoiceCount int    // endpoints that are drawn and compared for one request

	// LoadHalfLife is the age at which a load report is worth half: others send by the same report. 0: derived from the
	// mean latency.
	LoadHalfLife time.Duration
	LoadMaxAge   time.Duration // age from which on a load report is worth nothing

	LocalZoneUtilization float64 // share of a zone's capacity in use up to which all requests stay in it

	OutlierWeight      float64       // share of its usual weight that an outlier keeps, so that its recovery is seen
	MaxOutlierFraction float64       // share of the endpoints that may be held to be outliers at a time
	OutcomeHalfLife    time.Duration // age at which an outcome counts for half

	RetryRatio float64 // retries earned by each request
	RetryBurst float64 // retries that may be saved up
}

// DefaultConfig returns the values that apply unless configured.
func DefaultConfig() Config {
	return Config{
		ChoiceCount:          3,
		LoadMaxAge:           5 * time.Second,
		LocalZoneUtilization: 0.7,
		OutlierWeight:        0.02,
		MaxOutlierFraction:   0.3,
		OutcomeHalfLife:      5 * time.Second,
		RetryRatio:           0.1,
		RetryBurst:           10,
	}
}

// Balancer picks endpoints for requests. It has no lock: all of it belongs to the goroutine of its owner.
type Balancer struct {
	config      Config
	endpoints   []*endpointState
	indexByName map[EndpointName]int

	// What recomputeWeights derives from the endpoints' states.
	cumulativeWeights []float64 // by endpoint: its weight and those of all before it
	weightsAt         time.Duration
	weightsStale      bool // something has changed since
	zones             map[string]*zoneLoad
	meanLoad          float64 // requests in progress a core, over the endpoints with a recent report
	meanLatency       float64 // s, over all endpoints with a succeeded request; 0: none yet
	loadHalfLife      time.Duration
	outlierCount      int
	panicCount        uint64 // times that too many looked like outliers, and none was held to be one

	retryTokens float64
	pickCount   float64 // requests that an endpoint was to be picked for
	roundRobin  int     // position of the policy RoundRobin; 0: not drawn yet

	probePool     [probePoolSize]*endpointState // endpoints that answered a probe of late and got no request since
	nextProbeSlot int                           // the slot that is overwritten next
}

// New returns a Balancer without endpoints.
func New(config Config) *Balancer {
	return &Balancer{
		config:       config,
		indexByName:  map[EndpointName]int{},
		zones:        map[string]*zoneLoad{},
		retryTokens:  config.RetryBurst,
		weightsStale: true,
		loadHalfLife: cmp.Or(config.LoadHalfLife, initialLoadHalfLife),
	}
}

// SetEndpoints replaces the endpoints. What is known of those that stay is kept. Indexes hold until the next call.
func (b *Balancer) SetEndpoints(now time.Duration, endpoints []Endpoint) {
	var states []*endpointState
	byName := make(map[EndpointName]int, len(endpoints))
	for _, endpoint := range endpoints {
		var state *endpointState
		if index, ok := b.indexByName[endpoint.Name]; ok {
			state = b.endpoints[index]
		} else {
			state = &endpointState{lastOutcomeAt: now, creditedPicks: b.pickCount}
		}
		if endpoint.WarmUpRemaining > state.WarmUpRemaining { // it has restarted
			state.slowStartCredit = 0
			state.slowStartBegun = false
		}
		state.Endpoint = endpoint
		state.updatedAt = now
		state.index = len(states)
		byName[endpoint.Name] = state.index
		states = append(states, state)
	}
	for name, index := range b.indexByName {
		if _, stays := byName[name]; !stays {
			b.endpoints[index].removed = true
		}
	}
	b.endpoints = states
	b.indexByName = byName
	b.cumulativeWeights = slices.Grow(b.cumulativeWeights[:0], len(states))[:len(states)]
	b.recomputeWeights(now)
}

// Len returns the number of endpoints.
func (b *Balancer) Len() int { return len(b.endpoints) }

// NameAt returns the name of the endpoint at an index.
func (b *Balancer) NameAt(index int) EndpointName { return b.endpoints[index].Name }

// IndexOf returns the index of an endpoint, and whether there is one of that name.
func (b *Balancer) IndexOf(name EndpointName) (index int, ok bool) {
	index, ok = b.indexByName[name]
	return index, ok
}

// decayFactor returns what a value of some age is still worth, 1 for a new one.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
