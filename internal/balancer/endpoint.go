package balancer

import "time"

// EndpointName identifies an endpoint within the fleet.
type EndpointName string

// Endpoint is a process that requests may be given to, as the fleet's membership view has it.
type Endpoint struct {
	Name            EndpointName
	Zone            string
	Capacity        float64       // cores, as configured
	WarmUpRemaining time.Duration // time left until it runs at its full pace; 0: it does
	WarmUp          time.Duration // time that warming up takes in all; 0 where WarmUpRemaining is 0
	Suspect         bool          // not all members can reach it: it gets next to nothing
}

// endpointState is what a Balancer knows of one endpoint.
type endpointState struct {
	Endpoint
	index     int
	removed   bool          // it is no endpoint any more
	updatedAt time.Duration // when Endpoint was set, and so WarmUpRemaining
	weight    float64

	outstanding int // requests of ours that are in progress there

	// The last load report.
	hasReport          bool
	reportedLoad       float64 // requests in progress a core; negative: idle, see IdleLoad
	reportedAt         time.Duration
	startedSinceReport float64 // requests of ours a core

	// What became of our requests, and what follows from it.
	successes           float64 // decaying with Config.OutcomeHalfLife
	failures            float64 // decaying with Config.OutcomeHalfLife
	lastOutcomeAt       time.Duration
	consecutiveFailures int
	outlier             bool          // as of the last recomputeWeights
	ejectedUntil        time.Duration // an outlier gets nothing until then
	recoveredAt         time.Duration // when an outlier succeeded again; 0: it never was one
	meanLatency         float64       // s, of succeeded requests; 0: none yet

	// The part of the requests that we may give to it while it is warming up; see slowStartAllows.
	slowStartBegun  bool
	slowStartCredit float64 // requests; may be given one while it is not negative
	creditedPicks   float64 // Balancer.pickCount up to which slowStartCredit was earned
}

// hasRecentReport reports whether there is a load report that is not older than maxAge.
func (e *endpointState) hasRecentReport(now, maxAge time.Duration) bool {
	return e.hasReport && now-e.reportedAt <= maxAge
}

// setReport replaces the load report.
func (e *endpointState) setReport(load float64, measuredAt time.Duration) {
	e.hasReport = true
	e.reportedLoad = load
	e.reportedAt = measuredAt
	e.startedSinceReport = 0
}

// warmingUp reports whether the endpoint does not run at its full pace yet.
func (e *endpointState) warmingUp(now time.Duration) bool {
	return e.WarmUp > 0 && e.WarmUpRemaining > now-e.updatedAt
}

// decayOutcomes ages the outcomes up to now.
func (e *endpointState) decayOutcomes(now, halfLife time.Duration) {
	factor := decayFactor(now-e.lastOutcomeAt, halfLife)
	e.successes *= factor
	e.failures *= factor
	e.lastOutcomeAt = now
}
