package balancer

import "time"

// Outcome is what became of an op that was given to a member.
type Outcome uint8

const (
	Succeeded  Outcome = iota
	Rejected           // nacked: it never ran
	Failed             // it may have run
	NoResponse         // no answer, or the connection ended
)

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
