package balancer

import "time"

// Outcome is what became of a request that was given to an endpoint.
type Outcome uint8

// The outcomes.
const (
	Succeeded  Outcome = iota
	Rejected           // the endpoint refused it: it never ran
	Failed             // it may have run
	NoResponse         // the connection ended or the time was up; it may have run, unless nothing of it was sent
)

// Bounds of the time for which an outlier gets nothing. It doubles with each further failure.
const (
	minEjection          = time.Second
	maxEjection          = 30 * time.Second
	maxEjectionDoublings = 5
)

// RecordStart notes that a request was given to an endpoint.
func (b *Balancer) RecordStart(now time.Duration, index int) {
	state := b.endpoints[index]
	state.outstanding++
	state.startedSinceReport += 1 / state.Capacity
	if state.warmingUp(now) {
		state.slowStartCredit--
	}
	// A probe's answer is used up by one request: whoever sends little probes little, and would give all of it to the
	// endpoint that answered last.
	for slot, probed := range b.probePool {
		if probed == state {
			b.probePool[slot] = nil
		}
	}
	b.retryTokens = min(b.config.RetryBurst, b.retryTokens+b.config.RetryRatio)
}

// RecordOutcome notes what became of a request, by the endpoint's name, as indexes may have changed meanwhile. latency
// is read for Succeeded alone. An endpoint that is not known any more is ignored.
func (b *Balancer) RecordOutcome(now time.Duration, name EndpointName, outcome Outcome, latency time.Duration) {
	index, ok := b.indexByName[name]
	if !ok {
		return
	}
	state := b.endpoints[index]
	state.outstanding = max(0, state.outstanding-1)
	state.decayOutcomes(now, b.config.OutcomeHalfLife)
	switch outcome {
	case Succeeded:
		b.recordSuccess(now, state, latency)
	case Failed, NoResponse:
		recordFailure(now, state)
	case Rejected:
		// A rejection says that the endpoint is overloaded, not that it is faulty. What we make of it is bounded.
		load := max(2*b.meanLoad, b.estimatedLoad(now, state)) + 1
		state.setReport(min(load, 4*b.meanLoad+4), now)
	}
	b.weightsStale = true
}

// RecordCancel notes that nobody waits any more for a request. That says nothing of the endpoint.
func (b *Balancer) RecordCancel(name EndpointName) {
	if index, ok := b.indexByName[name]; ok {
		state := b.endpoints[index]
		state.outstanding = max(0, state.outstanding-1)
	}
}

func (b *Balancer) recordSuccess(now time.Duration, state *endpointState, latency time.Duration) {
	state.successes++
	if state.consecutiveFailures >= consecutiveFailuresLimit {
		state.recoveredAt = now
		state.failures = 0
	}
	state.consecutiveFailures = 0
	b.recordLatency(state, latency.Seconds())
}

// recordLatency averages the latency of an endpoint over some requests, so that one long request does not turn the
// load away. The first request to a process that has just started takes long, and all senders that gave it one
// would leave it idle for seconds: so a new endpoint is taken to be as quick as the others, and one request counts
// for a few usual ones at the most.
func (b *Balancer) recordLatency(state *endpointState, latency float64) {
	const smoothing = 0.1
	if b.meanLatency > 0 {
		latency = min(latency, maxLatencyFactor*b.meanLatency)
	}
	if state.meanLatency == 0 {
		state.meanLatency = latency
		if b.meanLatency > 0 {
			state.meanLatency = b.meanLatency
		}
	}
	state.meanLatency += smoothing * (latency - state.meanLatency)
}

// recordFailure counts a failure, and ejects an endpoint that fails repeatedly: one that fails at once is free at once,
// and would be tried again by every sender all the time.
func recordFailure(now time.Duration, state *endpointState) {
	state.failures++
	state.consecutiveFailures++
	if further := state.consecutiveFailures - consecutiveFailuresLimit; further >= 0 {
		state.ejectedUntil = now + min(minEjection<<min(further, maxEjectionDoublings), maxEjection)
	}
}
