// Package balancer decides which of many members gets the next op, where each process that decides sees a small share of the ops, and
// what it knows is thin and late. It is pure: time, chance and what is believed of the members are arguments. docs/spread.md says
// which ways were weighed and by which measurement.
package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Config is what the decisions go by.
type Config struct {
	Policy               Policy        // how one is picked; Informed unless told
	LocalZone            string        // our own; empty: zones don't matter
	ChoiceCount          int           // how many members are weighed against each other for one op
	LoadHalfLife         time.Duration // in which what is known of a member's load is worth half: others go by the same word. 0: the time that an op takes
	LoadMaxAge           time.Duration // how long it is worth anything
	LocalZoneUtilization float64       // share of a zone's capacity in use under which everything stays in it
	OutlierWeight        float64       // of its usual share that a bad member keeps, to find out when it is well
	MaxOutlierFraction   float64       // most of the members that our own judgement may hold to be bad
	OutcomeHalfLife      time.Duration // in which what a member did counts for half
	RetryRatio           float64       // second tries for each first one
	RetryBurst           float64       // of them that may be saved up
}

// DefaultConfig is what holds without being told; docs/spread.md has the measurements behind each.
func DefaultConfig() Config {
	return Config{ChoiceCount: 3, LoadMaxAge: 5 * time.Second, LocalZoneUtilization: 0.7, OutlierWeight: 0.02, MaxOutlierFraction: 0.3, OutcomeHalfLife: 5 * time.Second,
		RetryRatio: 0.1, RetryBurst: 10}
}

// Balancer gives ops to members. It belongs to one goroutine.
type Balancer struct {
	config            Config
	endpoints         []*endpointState
	indexByName       map[EndpointName]int
	cumulativeWeights []float64 // of the weights, running
	weightsAt         time.Duration
	weightsStale      bool
	meanLoad          float64 // load of those that are known, a core
	zones             map[string]*zoneLoad
	retryTokens       float64 // second tries that are left
	loadHalfLife      time.Duration
	meanLatency       float64 // s that a served op takes, over all members
	outlierCount      int     // members that look bad
	roundRobin        int     // of RoundRobin
	pickCount         float64 // ops that were to be given to somebody
	panicCount        uint64  // times that most looked bad, and nobody was held to be

	probePool     [probePoolSize]*endpointState // who was last asked and has answered, the next to be overwritten at nextIn
	nextProbeSlot int
}

// New makes a chooser that knows nobody.
func New(config Config) *Balancer {
	return &Balancer{config: config, indexByName: map[EndpointName]int{}, zones: map[string]*zoneLoad{}, retryTokens: config.RetryBurst, weightsStale: true,
		loadHalfLife: cmp.Or(config.LoadHalfLife, initialLoadHalfLife)}
}

// SetEndpoints takes the members as they are now; what was known of those that stay is kept. Places are found by At and hold until the next Set.
func (c *Balancer) SetEndpoints(now time.Duration, endpoints []Endpoint) {
	var states []*endpointState
	byName := make(map[EndpointName]int, len(endpoints))
	for _, endpoint := range endpoints {
		var state *endpointState
		if index, known := c.indexByName[endpoint.Name]; known {
			state = c.endpoints[index]
		} else {
			state = &endpointState{lastOutcomeAt: now, creditedPicks: c.pickCount}
		}
		if endpoint.WarmUpRemaining > state.WarmUpRemaining { // it has started anew
			state.slowStartCredit, state.slowStartBegun = 0, false
		}
		state.Endpoint, state.updatedAt = endpoint, now
		state.index = len(states)
		byName[endpoint.Name] = state.index
		states = append(states, state)
	}
	for name, index := range c.indexByName {
		if _, stays := byName[name]; !stays {
			c.endpoints[index].removed = true
		}
	}
	c.endpoints, c.indexByName, c.weightsStale = states, byName, true
	c.cumulativeWeights = slices.Grow(c.cumulativeWeights[:0], len(states))[:len(states)]
	c.recomputeWeights(now)
}

// Len is how many members there are; At gives the name at a place, Place the place of a name.
func (c *Balancer) Len() int { return len(c.endpoints) }

func (c *Balancer) NameAt(index int) EndpointName { return c.endpoints[index].Name }

func (c *Balancer) IndexOf(name EndpointName) (int, bool) {
	index, known := c.indexByName[name]
	return index, known
}
