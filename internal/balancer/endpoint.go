package balancer

import "time"

// EndpointName identifies an endpoint within the fleet.
type EndpointName string

// Endpoint is a process that can receive requests, as described by the fleet's membership view.
type Endpoint struct {
	Name            EndpointName
	Zone            string
	Capacity        float64       // cores, as configured
	WarmUpRemaining time.Duration // time until the endpoint is warmed up; 0: it is warmed up
	WarmUp          time.Duration // total time that warming up takes; 0 if WarmUpRemaining is 0
	Suspect         bool          // whether some members cannot reach the endpoint; reduces its weight to almost 0
}

// endpointState is a Balancer's record of one endpoint.
type endpointState struct {
	Endpoint
	index     int
	removed   bool          // whether SetEndpoints has removed the endpoint
	updatedAt time.Duration // when Endpoint was set; WarmUpRemaining counts from then
	weight    float64

	outstanding int // requests of this sender that are in progress at the endpoint

	// The last load report.
	hasReport          bool
	reportedLoad       float64 // requests in progress per core; negative: idle, see IdleLoad
	reportedAt         time.Duration
	startedSinceReport float64 // requests per core that this sender has started since the report

	// The outcomes of this sender's requests, and the state derived from them.
	successes           float64 // decaying with Config.OutcomeHalfLife
	failures            float64 // decaying with Config.OutcomeHalfLife
	lastOutcomeAt       time.Duration
	consecutiveFailures int
	outlier             bool          // as of the last recomputeWeights
	ejectedUntil        time.Duration // until then an outlier receives no requests
	recoveredAt         time.Duration // when the endpoint last recovered from consecutive failures; 0: never
	meanLatency         float64       // s, of succeeded requests; 0: none yet

	// The limit of this sender's requests while the endpoint is warming up; see slowStartAllows.
	slowStartBegun  bool
	slowStartCredit float64 // requests; the endpoint may receive a request unless it is negative
	creditedPicks   float64 // Balancer.pickCount up to which slowStartCredit has been earned
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

// warmingUp reports whether the endpoint has not reached its full speed yet.
func (e *endpointState) warmingUp(now time.Duration) bool {
	return e.WarmUp > 0 && e.WarmUpRemaining > now-e.updatedAt
}

// decayOutcomes decays the counts of outcomes to the current time.
func (e *endpointState) decayOutcomes(now, halfLife time.Duration) {
	factor := decayFactor(now-e.lastOutcomeAt, halfLife)
	e.successes *= factor
	e.failures *= factor
	e.lastOutcomeAt = now
}
