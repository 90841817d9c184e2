package balancer

import (
	"math"
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

func (m *endpointState) decayOutcomes(now time.Duration, halfLife time.Duration) {
	remaining := math.Exp2(-float64(now-m.lastOutcomeAt) / float64(halfLife))
	m.successes, m.failures, m.lastOutcomeAt = m.successes*remaining, m.failures*remaining, now
}

// warmingUp tells whether a member is not at its full pace yet.
func (m *endpointState) warmingUp(now time.Duration) bool {
	return m.WarmUp > 0 && m.WarmUpRemaining > now-m.updatedAt
}
