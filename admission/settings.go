package admission

import (
	"errors"
	"fmt"
	"time"
)

// Settings are what an instance is configured with. A zero value means that nothing was configured: no limit, no such
// party, or none of it, as each field says. Durations are never negative. A Controller does not use OverloadTolerance,
// LoadSignalLifetime, CancellationsSeen, RetriesMarked, Tier, OverQuotaWeight, ClassSettings.CallsUpstream and
// TenantSettings.Share.
type Settings struct {
	Classes []ClassSettings  // never empty; requests of other classes are treated as of the first
	Tenants []TenantSettings // in the order configured; empty where there are no tenants

	Cores           float64 // 1 or more; a fraction of a core is not used
	MemoryKB        float64 // for requests and idempotency records; 0: unlimited
	RunMemoryFactor float64 // memory of a run, as a multiple of that of the request while queued; under 1: 1
	RecordKB        float64 // memory of one idempotency record

	// SurvivableRunsPerCore is the number of runs per core that the instance survives at full speed; 0: not known.
	SurvivableRunsPerCore float64
	OverloadTolerance     time.Duration // how long more runs than that are survived
	Halt                  HaltMode      // what becomes of a run that is stopped
	Tick                  time.Duration // the resolution of timers
	DrainGrace            time.Duration // requests that arrive within it after the notice to drain may run

	JustStarted      bool          // the instance warms up
	WarmUp           time.Duration // how long warming up takes, from the start
	WarmUpSpeedShare float64       // speed at the start, as a share of full speed, 0 to 1

	Upstream            UpstreamKind
	UpstreamShare       float64       // calls that this instance may have open, if Upstream is shared; 0: not limited
	UpstreamWindow      time.Duration // a share under 1 is a part of the time, on average over this window
	TimedOutCallLinger  time.Duration // how long a call that timed out still occupies the upstream
	CoalescedReadWindow time.Duration // how long the result of a read answers duplicates; 0: reads are not coalesced

	LoadSignal         LoadSignal
	LoadSignalLifetime time.Duration // how long callers go by a load report
	RetryAfterAllowed  bool          // whether callers are told how long to stay away
	MaxRetryAfter      time.Duration
	MaxIdleTimeout     time.Duration // for unused connections; 0: they are not closed
	CancellationsSeen  bool          // whether the instance learns that a caller has gone
	RetriesMarked      bool          // whether retries are marked as such

	Callers         float64 // all callers that may send here; 0: not known
	FleetSize       float64 // instances that share the tenants' quotas; under 1: 1
	Tier            float64 // 0: the first, which callers from outside reach
	OverQuotaWeight float64 // weight of a request beyond its tenant's quota, as a share of its class's
}

// ClassSettings configures one class of requests.
type ClassSettings struct {
	Name              Class
	Weight            float64       // priority weight
	LatencyObjective  time.Duration // from arrival to answer
	ObjectivePerWork  float64       // the objective grows by this multiple of the request's work
	Timeout           time.Duration // when an answer is due where the caller names no deadline
	LateValue         float64       // value of an answer after the objective, as a share of that of one in time
	Idempotency       Idempotency
	IdempotencyWindow time.Duration // from arrival; duplicates within it get the first one's result
	CallsUpstream     bool          // whether its runs call the upstream
	SkippedCallValue  float64       // value of an answer without the upstream call; 0: calls can't be skipped
}

// TenantSettings configures one tenant.
type TenantSettings struct {
	Name           TenantID
	QuotaPerSecond float64 // requests of the whole fleet; 0: none
	Share          float64 // of all traffic, 0 to 1
}

// minDuration is the shortest objective or timeout that has a meaning: a caller's clock can tell it.
const minDuration = time.Millisecond

// ApplyDefaults completes what is configured too short or out of range to have a meaning. The decisions divide by a
// latency objective, and derive durations from the others.
func (s *Settings) ApplyDefaults() {
	for i := range s.Classes {
		s.Classes[i].applyDefaults()
	}
	s.WarmUpSpeedShare = min(1, max(0, s.WarmUpSpeedShare))
}

// applyDefaults takes the timeout for the objective where that is missing, and the other way round; without either,
// one second, the unit in which both are configured.
func (c *ClassSettings) applyDefaults() {
	if c.LatencyObjective < minDuration && c.Timeout < minDuration {
		c.LatencyObjective, c.Timeout = time.Second, time.Second
	}
	if c.LatencyObjective < minDuration {
		c.LatencyObjective = c.Timeout
	}
	if c.Timeout < minDuration {
		c.Timeout = c.LatencyObjective
	}
}

// Errors of Settings.Validate, for errors.Is.
var (
	ErrNoCores   = errors.New("cores: 1 or more are required")
	ErrNoClasses = errors.New("classes: at least one is required")
)

// Validate returns what a Controller can't work with: ErrNoCores, ErrNoClasses, both joined, or nil.
func (s *Settings) Validate() error {
	var problems []error
	if s.Cores < 1 {
		problems = append(problems, fmt.Errorf("%w, got %v", ErrNoCores, s.Cores))
	}
	if len(s.Classes) == 0 {
		problems = append(problems, ErrNoClasses)
	}
	return errors.Join(problems...)
}

// Idempotency tells whether a request may run more than once.
type Idempotency int

// The repeatability of a class's requests.
const (
	NotIdempotent   Idempotency = iota // it must not run twice
	Idempotent                         // it may run any number of times
	IdempotentByKey                    // of all attempts with one key one runs, and answers the others
)

var idempotencyNames = [...]string{
	NotIdempotent:   "not idempotent",
	Idempotent:      "idempotent",
	IdempotentByKey: "idempotent by key",
}

func (i Idempotency) String() string { return enumString("Idempotency", idempotencyNames[:], int(i)) }

// HaltMode tells what the runtime does with a run that is stopped.
type HaltMode int

// What a runtime may do.
const (
	HaltNone  HaltMode = iota // runs can't be stopped
	HaltDrop                  // the run ends
	HaltPause                 // the run leaves the cores
)

var haltModeNames = [...]string{
	HaltNone:  "none",
	HaltDrop:  "drop",
	HaltPause: "pause",
}

func (h HaltMode) String() string { return enumString("HaltMode", haltModeNames[:], int(h)) }

// UpstreamKind tells what requests call while they run.
type UpstreamKind int

// The kinds differ in who keeps the upstream from being overloaded.
const (
	UpstreamUnspecified UpstreamKind = iota // nothing was configured
	UpstreamNone                            // calls end at this tier
	UpstreamShared                          // one that all instances share, and may overload
	UpstreamNextTier                        // another fleet, with admission control of its own
	UpstreamUnknown                         // of a kind that this version does not know
)

var upstreamKindNames = [...]string{
	UpstreamUnspecified: "unspecified",
	UpstreamNone:        "none",
	UpstreamShared:      "shared",
	UpstreamNextTier:    "next tier",
	UpstreamUnknown:     "unknown",
}

func (u UpstreamKind) String() string {
	return enumString("UpstreamKind", upstreamKindNames[:], int(u))
}

// LoadSignal is the kind of value that a load report carries, by which callers decide what they send.
type LoadSignal int

// What callers compare, or count.
const (
	LoadSignalNone      LoadSignal = iota // there are no load reports
	LoadSignalChance                      // the probability, 0 to 1, with which a caller should send a request here
	LoadSignalLeastRank                   // the least rank, 0 to under 1, of a request that is welcome
	LoadSignalTokens                      // how many requests each caller may have here; a fraction is a probability
)

var loadSignalNames = [...]string{
	LoadSignalNone:      "none",
	LoadSignalChance:    "chance",
	LoadSignalLeastRank: "least rank",
	LoadSignalTokens:    "tokens",
}

func (s LoadSignal) String() string { return enumString("LoadSignal", loadSignalNames[:], int(s)) }
