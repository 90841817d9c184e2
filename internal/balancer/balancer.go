// Package balancer decides which of many endpoints receives the next request. It is designed for fleets in which each
// sender sends only a small part of the requests, and has sparse and outdated information about the endpoints' loads.
//
// The package does no I/O: the caller passes in the time, a source of randomness and all information about the
// endpoints. Times are durations since an origin that the caller chooses and that is the same for all calls.
// docs/balancing.md compares the policies.
package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config is the configuration of a Balancer.
type Config struct {
	Policy      Policy // how an endpoint is picked; the default is LeastEstimatedLoad
	LocalZone   string // the sender's zone; empty: zones are ignored
	ChoiceCount int    // number of endpoints that are drawn and compared for one request

	// LoadHalfLife is the age at which a load report has half its weight. Reports lose weight because other senders act
	// on the same report. 0: derived from the mean latency.
	LoadHalfLife time.Duration
	LoadMaxAge   time.Duration // age beyond which a load report is ignored

	// LocalZoneUtilization is the utilization of the local zone, in requests in progress per core, up to which all
	// requests stay in it.
	LocalZoneUtilization float64

	// OutlierWeight is the fraction of its weight that an outlier or a suspect keeps, so that its recovery is detected.
	OutlierWeight      float64
	MaxOutlierFraction float64       // if more endpoints than this fraction look like outliers, none is treated as one
	OutcomeHalfLife    time.Duration // age at which an outcome has half its weight

	RetryRatio float64 // retries earned by each attempt that is sent, retries included
	RetryBurst float64 // maximum number of retries that can be saved up
}

// DefaultConfig returns the default configuration.
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

// Balancer picks endpoints for requests. It has no lock: all methods must be called from the goroutine of its owner.
type Balancer struct {
	config      Config
	endpoints   []*endpointState
	indexByName map[EndpointName]int

	// Values that recomputeWeights derives from the endpoints' states.
	cumulativeWeights []float64     // by endpoint index: the sum of the weights up to and including this endpoint
	weightsAt         time.Duration // when the weights were computed
	weightsStale      bool          // whether an input has changed since weightsAt
	zones             map[string]*zoneLoad
	meanLoad          float64 // requests in progress per core, over the endpoints with a recent report
	meanLatency       float64 // s, over all endpoints with a succeeded request; 0: none yet
	loadHalfLife      time.Duration
	outlierCount      int    // endpoints that look like outliers, ejected or not
	panicCount        uint64 // number of recomputations that ejected no endpoint because too many looked like outliers

	retryTokens float64
	pickCount   float64 // number of selections by Balancer.Pick and SpilloverPolicy.Pick
	roundRobin  int     // position of the policy RoundRobin; 0: not drawn yet

	probePool     [probePoolSize]*endpointState // recently probed endpoints that this sender has sent no request to since
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

// SetEndpoints replaces the endpoints. Endpoints that remain keep their state. Indexes are valid until the next call.
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
		if endpoint.WarmUpRemaining > state.WarmUpRemaining { // the endpoint is new or has restarted
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

// IndexOf returns the index of an endpoint. ok is false if there is no endpoint with that name.
func (b *Balancer) IndexOf(name EndpointName) (index int, ok bool) {
	index, ok = b.indexByName[name]
	return index, ok
}

// decayFactor returns the remaining weight of a value of some age: 1 at age 0, halved per halfLife.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
