// Package balancer decides which of many members gets the next op, where each process that decides sees a small share of the ops, and
// what it knows is thin and late. It is pure: time, chance and what is believed of the members are arguments. docs/spread.md says
// which ways were weighed and by which measurement.
package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EndpointName is what a member is called.
type EndpointName string

// Endpoint is one that ops may be given to, as the fleet's view has it.
type Endpoint struct {
	Name            EndpointName
	Zone            string
	Capacity        float64       // told, in cores
	WarmUpRemaining time.Duration // how long it still has to its full pace
	WarmUp          time.Duration // how long that takes in all
	Suspect         bool          // here by some, not by all: it gets what nobody else can take
}

// Outcome is what became of an op that was given to a member.
type Outcome uint8

const (
	Succeeded  Outcome = iota
	Rejected           // nacked: it never ran
	Failed             // it may have run
	NoResponse         // no answer, or the connection ended
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

// endpointState is what a chooser keeps of one.
type endpointState struct {
	Endpoint
	updatedAt           time.Duration // when Cold was told
	outstanding         int           // of our own ops there
	reportedLoad        float64       // ops in hand a core, as it last said
	reportedAt          time.Duration // when that was so
	hasReport           bool
	startedSinceReport  float64 // of ours since then, a core
	successes           float64 // what became of ours, fading with Memory: served, and not
	failures            float64
	consecutiveFailures int           // failures in a row
	ejectedUntil        time.Duration // until when a bad one gets nothing at all
	recoveredAt         time.Duration // since when one that was bad serves again, 0 if it never was
	outlier             bool          // held to be bad, as last weighed
	meanLatency         float64       // s that its served ones took, on average
	lastOutcomeAt       time.Duration
	weight              float64 // its share, all told
	index               int
	removed             bool
	slowStartCredit     float64 // ops that a cold one may be given by us; see allowed
	creditedPicks       float64 // picks that are in it
	slowStartBegun      bool    // it has begun
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

// probePoolSize is how many fresh words are weighed for one op. Sixteen is what the Prequal paper found to be enough; more would be older.
const probePoolSize = 16

// zoneLoad is what is believed of one zone as a whole.
type zoneLoad struct {
	capacity, load, spare float64
	reports               int
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
func (c *Balancer) Len() int                      { return len(c.endpoints) }
func (c *Balancer) NameAt(index int) EndpointName { return c.endpoints[index].Name }
func (c *Balancer) IndexOf(name EndpointName) (int, bool) {
	index, known := c.indexByName[name]
	return index, known
}

// IdleLoad is what a member says that has nothing in hand: under 0 by how long it has waited, so that of many idle ones the one that waits longest
// goes first; -1 at the most, so that it is never worth more than an op.
func IdleLoad(idleFor time.Duration) float64 { return -float64(idleFor) / float64(idleFor+time.Second) }

// RecordReport takes a member's own word on its load, ops in hand or Idle, that was so age ago. The effect on the next choices is bounded by how
// old it is, and fades, as all that heard it go by it.
func (c *Balancer) RecordReport(now time.Duration, index int, load float64, age time.Duration) {
	state := c.endpoints[index]
	measuredAt := now - age
	// Danger: a member that says nonsense, always idle or older than before. What is not a load says nothing; the newest counts.
	if math.IsNaN(load) || load < -1 || load > 1e6 || age < 0 || age > c.config.LoadMaxAge || state.hasReport && measuredAt <= state.reportedAt {
		return
	}
	state.reportedLoad, state.reportedAt, state.hasReport, state.startedSinceReport = load/state.Capacity, measuredAt, true, 0
	c.weightsStale = true
}

// RecordProbe takes what a member says that was asked: beside Told, it is weighed against the next ops while it is fresh.
func (c *Balancer) RecordProbe(now time.Duration, index int, load float64, age time.Duration) {
	c.RecordReport(now, index, load, age)
	state := c.endpoints[index]
	for _, probed := range c.probePool {
		if probed == state {
			return
		}
	}
	c.probePool[c.nextProbeSlot] = state
	c.nextProbeSlot = (c.nextProbeSlot + 1) % probePoolSize
}

// RecordStart notes that an op was given to a member.
func (c *Balancer) RecordStart(now time.Duration, index int) {
	state := c.endpoints[index]
	state.outstanding++
	state.startedSinceReport += 1 / state.Capacity
	if state.warmingUp(now) {
		state.slowStartCredit--
	}
	// A word is used up by one op. Danger: who has little to do asks little, and would give all of it to the one it heard last.
	for slot, probed := range c.probePool {
		if probed == state {
			c.probePool[slot] = nil
		}
	}
	c.retryTokens = min(c.config.RetryBurst, c.retryTokens+c.config.RetryRatio)
}

// RecordOutcome notes what became of it, by name, as places may have changed meanwhile.
func (c *Balancer) RecordOutcome(now time.Duration, name EndpointName, outcome Outcome, latency time.Duration) {
	index, known := c.indexByName[name]
	if !known {
		return
	}
	state := c.endpoints[index]
	state.outstanding = max(0, state.outstanding-1)
	state.decayOutcomes(now, c.config.OutcomeHalfLife)
	switch outcome {
	case Succeeded:
		state.successes++
		if state.consecutiveFailures >= consecutiveFailuresLimit {
			state.recoveredAt, state.failures = now, 0
		}
		state.consecutiveFailures = 0
		// How slow it is goes by a mean over some ops, so that one long op does not turn the load away.
		const smoothing = 0.1
		// Danger: the first op of a process that has just started takes long, and all deciders that gave it one leave it idle for seconds. Whoever is new
		// is taken to be as quick as the others, and one op counts for a few usual ones at the most.
		seconds := latency.Seconds()
		if c.meanLatency > 0 {
			seconds = min(seconds, maxLatencyFactor*c.meanLatency)
		}
		if state.meanLatency == 0 {
			state.meanLatency = seconds
			if c.meanLatency > 0 {
				state.meanLatency = c.meanLatency
			}
		}
		state.meanLatency += smoothing * (seconds - state.meanLatency)
	case Failed, NoResponse:
		state.failures++
		state.consecutiveFailures++
		// Danger: one that fails at once is free at once, and would be tried again by everybody all the time. It rests twice as long
		// each time, up to half a minute: hundreds of deciders that each try it once in that are a few tries a second.
		if state.consecutiveFailures >= consecutiveFailuresLimit {
			state.ejectedUntil = now + min(time.Second<<min(state.consecutiveFailures-consecutiveFailuresLimit, 5), 30*time.Second)
		}
	case Rejected: // it said no as it has too much: that is load, not illness. What it makes of it is bounded.
		state.reportedLoad, state.reportedAt, state.hasReport, state.startedSinceReport = min(max(2*c.meanLoad, c.estimatedLoad(now, state))+1, 4*c.meanLoad+4), now, true, 0
	}
	c.weightsStale = true
}

// RecordCancel notes that nobody waits any more for an op that was given to a member; that says nothing of it.
func (c *Balancer) RecordCancel(name EndpointName) {
	if index, known := c.indexByName[name]; known {
		c.endpoints[index].outstanding = max(0, c.endpoints[index].outstanding-1)
	}
}

func (m *endpointState) decayOutcomes(now time.Duration, halfLife time.Duration) {
	remaining := math.Exp2(-float64(now-m.lastOutcomeAt) / float64(halfLife))
	m.successes, m.failures, m.lastOutcomeAt = m.successes*remaining, m.failures*remaining, now
}

// takeRetry asks whether a second try is within the budget, and takes it off. Danger: when all are full, each op that is tried twice
// makes them fuller, and layers that each try again multiply each other; so an op that is a repeat already gets none.
func (c *Balancer) takeRetry(forwarded bool) bool {
	if forwarded || c.retryTokens < 1 {
		return false
	}
	c.retryTokens--
	return true
}

// estimatedLoad is the load of a member as it is likely to be by now: what it said, drawn towards the mean by the time that has gone, as
// all others choose by the like; and what we ourselves have sent since.
func (c *Balancer) estimatedLoad(now time.Duration, state *endpointState) float64 {
	if !state.hasReport || now-state.reportedAt > c.config.LoadMaxAge {
		return c.meanLoad + float64(state.outstanding)/state.Capacity
	}
	remaining := math.Exp2(-float64(now-state.reportedAt) / float64(c.loadHalfLife))
	load := state.reportedLoad
	// Danger: one that says nonsense, always idle. Own evidence goes before hearsay: where our ops take long, it is not idle.
	if slowdown := c.relativeLatency(now, state); load < c.meanLoad && slowdown > slowLatencyFactor {
		load = c.meanLoad + (slowdown-1)*max(c.meanLoad, 1)
	}
	return c.meanLoad + (load-c.meanLoad)*remaining + state.startedSinceReport
}

// A load moves as fast as ops come and go: a word is worth half after the time that one takes. Before any is known, a tenth of a second; never less
// than a round trip, nor longer than a second, in which hundreds that go by one word have long made it wrong.
const initialLoadHalfLife, minLoadHalfLife, maxLoadHalfLife = 100 * time.Millisecond, 10 * time.Millisecond, time.Second

// weightsMaxAge is how long weights hold, unless members change: what they go by moves slower.
const weightsMaxAge = 100 * time.Millisecond

// recomputeWeights works out the members' shares.
func (c *Balancer) recomputeWeights(now time.Duration) {
	c.weightsAt, c.weightsStale = now, false
	// The mean load, and the zones', by those that are known.
	clear(c.zones)
	loadSum, capacitySum, latencySum, latencyCount := 0.0, 0.0, 0.0, 0.0
	for _, state := range c.endpoints {
		zone := c.zones[state.Zone]
		if zone == nil {
			zone = &zoneLoad{}
			c.zones[state.Zone] = zone
		}
		zone.capacity += state.Capacity
		if state.hasReport && now-state.reportedAt <= c.config.LoadMaxAge {
			loadSum += state.reportedLoad * state.Capacity
			capacitySum += state.Capacity
			zone.load += state.reportedLoad * state.Capacity
			zone.reports++
		}
		if state.meanLatency > 0 {
			latencySum += state.meanLatency
			latencyCount++
		}
	}
	c.meanLoad = 0
	if capacitySum > 0 {
		c.meanLoad = loadSum / capacitySum
	}
	meanLatency := 0.0
	if latencyCount > 0 {
		meanLatency = latencySum / latencyCount
	}
	c.meanLatency = meanLatency
	if c.config.LoadHalfLife == 0 && meanLatency > 0 {
		// Where cores stand idle a member's load changes less often than an op takes, by how seldom it gets one.
		sparseLoadFactor := min(25, max(1, 0.5/max(c.meanLoad, 0.02)))
		c.loadHalfLife = min(max(time.Duration(sparseLoadFactor*meanLatency*float64(time.Second)), minLoadHalfLife), maxLoadHalfLife)
	}
	// How many look bad. When most do, it is our own judgement that is wrong, or what all of them depend on: then nobody is held to be.
	c.outlierCount = 0
	for _, state := range c.endpoints {
		if c.isOutlier(now, state) {
			c.outlierCount++
		}
	}
	ejecting := true
	if float64(c.outlierCount) > c.config.MaxOutlierFraction*float64(len(c.endpoints)) {
		ejecting = false
		c.panicCount++
	}
	zoneWeight := c.zoneWeights()
	total := 0.0
	for index, state := range c.endpoints {
		weight := state.Capacity
		if state.warmingUp(now) {
			remaining := max(0, state.WarmUpRemaining-(now-state.updatedAt))
			// From a tenth on, straight up: a process that gets nothing is never warm.
			weight *= 0.1 + 0.9*(1-float64(remaining)/float64(state.WarmUp))
		}
		if state.recoveredAt > 0 && now-state.recoveredAt < c.config.OutcomeHalfLife { // it is not flooded when it is well
			weight *= 0.1 + 0.9*float64(now-state.recoveredAt)/float64(c.config.OutcomeHalfLife)
		}
		if state.outlier = ejecting && c.isOutlier(now, state); ejecting {
			switch {
			case state.outlier && now < state.ejectedUntil:
				weight = 0
			case state.outlier:
				weight *= c.config.OutlierWeight
			case c.relativeLatency(now, state) > slowLatencyFactor: // a slow one loses in proportion
				weight *= max(c.config.OutlierWeight, 1/c.relativeLatency(now, state))
			}
		}
		if state.Suspect {
			weight *= c.config.OutlierWeight
		}
		weight *= zoneWeight(state.Zone)
		state.weight = weight
		total += weight
		c.cumulativeWeights[index] = total
	}
}

// warmingUp tells whether a member is not at its full pace yet.
func (m *endpointState) warmingUp(now time.Duration) bool {
	return m.WarmUp > 0 && m.WarmUpRemaining > now-m.updatedAt
}

// slowStartShare is how much of its drawn share a cold member gets: the sum over all senders then stays under what it bears, where shares are uneven too.
const slowStartShare = 0.75

// slowStartAllows tells whether a cold member may be given an op now. Danger: it has little to do, so of a few that are drawn it is the least loaded one each
// time, for every process that decides, and gets several times what it was drawn for from all of them together. Each gives it no more than its
// part of its own ops; that is its part of the fleet's, however many others send and whether they are known or not. Each begins somewhere
// between two ops: else hundreds would give it their first one together.
func (c *Balancer) slowStartAllows(now time.Duration, state *endpointState, random func() float64) bool {
	if !state.warmingUp(now) {
		return true
	}
	if !state.slowStartBegun {
		state.slowStartBegun, state.slowStartCredit, state.creditedPicks = true, -random(), c.pickCount
	}
	if total := c.cumulativeWeights[len(c.cumulativeWeights)-1]; total > 0 { // else all of them rest, and nobody has a share
		state.slowStartCredit = min(1, state.slowStartCredit+(c.pickCount-state.creditedPicks)*slowStartShare*state.weight/total)
	}
	state.creditedPicks = c.pickCount
	return state.slowStartCredit >= 0
}

// maxLatencyFactor is how many usual ops one that took long counts for: with it alone a member is not slow, with two it is.
const maxLatencyFactor = 5

// slowLatencyFactor is from where on a member is slow against the others: half as slow again may be chance.
const slowLatencyFactor = 1.5

// relativeLatency is how much longer our ops take at a member than usual. It fades while none comes back from there. Danger: one that is
// held to be slow gets nothing, and nothing shows that it is well.
func (c *Balancer) relativeLatency(now time.Duration, state *endpointState) float64 {
	if c.meanLatency <= 0 || state.meanLatency <= 0 {
		return 1
	}
	return 1 + (state.meanLatency/c.meanLatency-1)*math.Exp2(-float64(now-state.lastOutcomeAt)/float64(c.config.OutcomeHalfLife/4))
}

// consecutiveFailuresLimit is how many failures in a row make a member look bad, without one served between.
const consecutiveFailuresLimit = 2

// isOutlier tells whether a member fails more than it serves, by more than a few ops, or in a row.
func (c *Balancer) isOutlier(now time.Duration, state *endpointState) bool {
	if state.consecutiveFailures >= consecutiveFailuresLimit {
		return true
	}
	remaining := math.Exp2(-float64(now-state.lastOutcomeAt) / float64(c.config.OutcomeHalfLife))
	const minFailures = 1.5 // ops: two failures in a row of one that serves little
	return state.failures*remaining >= minFailures && state.failures > state.successes
}

// zoneWeights gives the weight of a zone against the others: all stays in our own while it has room, and what does not fit goes to the
// others by the room that they have, without a step between.
func (c *Balancer) zoneWeights() func(string) float64 {
	local := c.zones[c.config.LocalZone]
	if c.config.LocalZone == "" || local == nil || len(c.zones) == 1 {
		return func(string) float64 { return 1 }
	}
	utilization := func(zone *zoneLoad) float64 { // ops in hand a core, 1 for all cores at work
		if zone.reports == 0 {
			return c.meanLoad
		}
		return zone.load / zone.capacity
	}
	spareElsewhere := 0.0
	for name, zone := range c.zones {
		zone.spare = max(0.02, 1.2-utilization(zone)) * zone.capacity // a full zone still takes a little: loads move
		if name != c.config.LocalZone {
			spareElsewhere += zone.spare
		}
	}
	// Nothing leaves under Near; at 1.7, where as many wait as there are cores beside those at work, as much as the others have room for
	// beside ours. A steeper way would swing: what leaves shows in the loads a while later.
	outflow := min(1, max(0, (utilization(local)-c.config.LocalZoneUtilization)/(1.7-c.config.LocalZoneUtilization))) * spareElsewhere / (spareElsewhere + local.spare)
	return func(name string) float64 {
		if name == c.config.LocalZone {
			return (1 - outflow) / local.capacity
		}
		zone := c.zones[name]
		return max(outflow, 0.001) * zone.spare / spareElsewhere / zone.capacity // a thousandth keeps the others known
	}
}

// Pick chooses the member for one op: a few are drawn by their shares, and the least loaded of them gets it. not tells places that are
// out of the question. It gives false where nobody is left. It does not allocate.
func (c *Balancer) Pick(now time.Duration, random func() float64, excluded func(int) bool) (index int, ok bool) {
	if len(c.endpoints) == 0 {
		return 0, false
	}
	if c.weightsStale && now-c.weightsAt >= weightsMaxAge || c.weightsAt == 0 && c.weightsStale {
		c.recomputeWeights(now)
	}
	c.pickCount++
	total := c.cumulativeWeights[len(c.cumulativeWeights)-1]
	best, leastLoad := -1, math.Inf(1)
	if c.config.Policy != LeastEstimatedLoad {
		if candidate, decided := c.pickBaseline(random); decided && (excluded == nil || !excluded(candidate)) {
			return candidate, true
		}
	}
	// Those that have just said how they stand. They were drawn by their shares, so the least loaded of them is a fair choice.
	start := int(random() * probePoolSize) // of equals the one drawn, not the first
	for offset := range probePoolSize {
		state := c.probePool[(start+offset)%probePoolSize]
		if state == nil || state.removed || state.outlier || now-state.reportedAt > 2*c.loadHalfLife || excluded != nil && excluded(state.index) || !c.slowStartAllows(now, state, random) {
			continue
		}
		if load := c.estimatedLoad(now, state); load < leastLoad {
			best, leastLoad = state.index, load
		}
	}
	for range c.config.ChoiceCount {
		candidate := c.drawByWeight(random() * total)
		if candidate == best || excluded != nil && excluded(candidate) || !c.slowStartAllows(now, c.endpoints[candidate], random) {
			continue
		}
		if load := c.estimatedLoad(now, c.endpoints[candidate]); load < leastLoad {
			best, leastLoad = candidate, load
		}
	}
	if best >= 0 {
		return best, true
	}
	// All that were drawn are out of the question: the first from a drawn place on that is not, a cold one only if there is no other.
	start = min(len(c.endpoints)-1, int(random()*float64(len(c.endpoints))))
	for offset := range c.endpoints {
		candidate := (start + offset) % len(c.endpoints)
		switch {
		case excluded != nil && excluded(candidate):
		case c.slowStartAllows(now, c.endpoints[candidate], random):
			return candidate, true
		case best < 0:
			best = candidate
		}
	}
	return max(best, 0), best >= 0
}

// drawByWeight finds the place whose share a number falls into.
func (c *Balancer) drawByWeight(point float64) int {
	low, high := 0, len(c.cumulativeWeights)-1
	for low < high {
		middle := (low + high) / 2
		if c.cumulativeWeights[middle] > point {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// PickProbe gives a member whose load is worth asking for: the one drawn of whom the oldest is known. It is called some times an op.
func (c *Balancer) PickProbe(now time.Duration, random func() float64) (index int, ok bool) {
	if len(c.endpoints) == 0 {
		return 0, false
	}
	total := c.cumulativeWeights[len(c.cumulativeWeights)-1]
	best, oldest := -1, time.Duration(math.MaxInt64)
	for range 2 {
		candidate := c.drawByWeight(random() * total)
		reportedAt := c.endpoints[candidate].reportedAt
		if !c.endpoints[candidate].hasReport {
			reportedAt = -1
		}
		if reportedAt < oldest {
			best, oldest = candidate, reportedAt
		}
	}
	return best, best >= 0
}
