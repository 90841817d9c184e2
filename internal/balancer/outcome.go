package balancer

import "time"

// Outcome is the result of a request that was sent to an endpoint.
type Outcome uint8

// The outcomes.
const (
	Succeeded  Outcome = iota
	Rejected           // the endpoint rejected the request without running it
	Failed             // the endpoint reported a failure; the request may have run
	NoResponse         // the connection ended or the request timed out; it may have run unless nothing of it was sent
)

// Bounds of the time for which an outlier is ejected. The time doubles with each further failure.
const (
	minEjection          = time.Second
	maxEjection          = 30 * time.Second
	maxEjectionDoublings = 5
)

// RecordStart records that a request was sent to an endpoint.
func (b *Balancer) RecordStart(now time.Duration, index int) {
	state := b.endpoints[index]
	state.outstanding++
	state.startedSinceReport += 1 / state.Capacity
	if state.warmingUp(now) {
		state.slowStartCredit--
	}
	// Each probe's answer is used for only one request. A sender with few requests sends few probes, and would otherwise
	// send all its requests to the endpoint that answered last.
	for slot, probed := range b.probePool {
		if probed == state {
			b.probePool[slot] = nil
		}
	}
	b.retryTokens = min(b.config.RetryBurst, b.retryTokens+b.config.RetryRatio)
}

// RecordOutcome records the outcome of a request to an endpoint. The endpoint is identified by name because indexes may
// have changed since the request started. The outcome is ignored if the endpoint has been removed. latency is only used
// for Succeeded.
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
		// A rejection means that the endpoint is overloaded, not that it is faulty. The load derived from it is bounded.
		load := max(2*b.meanLoad, b.estimatedLoad(now, state)) + 1
		state.setReport(min(load, 4*b.meanLoad+4), now)
	}
	b.weightsStale = true
}

// RecordTimeout records that a request was given up at its deadline, the given time after it was sent, without a
// response. It counts as a failure of the endpoint unless its caller waited for less time than requests take on
// average: such callers could otherwise make every endpoint look faulty.
func (b *Balancer) RecordTimeout(now time.Duration, name EndpointName, elapsed time.Duration) {
	if elapsed.Seconds() < b.meanLatency {
		b.RecordCancel(name)
		return
	}
	b.RecordOutcome(now, name, NoResponse, elapsed)
}

// RecordCancel records that a request was canceled. A cancellation does not count for or against the endpoint.
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

// recordLatency updates the moving average of an endpoint's latency. It averages over several requests so that one long
// request does not divert the load. The first request to a process that has just started takes long. Taken at face
// value, it would make every sender that sent one avoid the process and leave it idle for seconds. Therefore a new
// endpoint starts with the mean latency of the others, and the latency of one request counts as at most
// maxLatencyFactor times the mean.
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

// recordFailure counts a failure, and ejects an endpoint that fails repeatedly. An endpoint that fails requests
// immediately is always idle, and would otherwise attract requests from every sender.
func recordFailure(now time.Duration, state *endpointState) {
	state.failures++
	state.consecutiveFailures++
	if further := state.consecutiveFailures - consecutiveFailuresLimit; further >= 0 {
		state.ejectedUntil = now + min(minEjection<<min(further, maxEjectionDoublings), maxEjection)
	}
}
