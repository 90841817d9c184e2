package admission

import (
	"errors"
	"fmt"
	"time"
)

// Settings configures an instance. The zero value of a field means that it is not configured: there is no limit, or
// the feature is absent, unless the field's comment states otherwise. Durations are never negative. A Controller does
// not use OverloadTolerance, LoadSignalLifetime, CancellationsSeen, RetriesMarked, Tier, OverQuotaWeight,
// ClassSettings.CallsUpstream or TenantSettings.Share.
type Settings struct {
	Classes []ClassSettings  // never empty; requests of unknown classes are treated as requests of the first class
	Tenants []TenantSettings // in the configured order; empty if there are no tenants

	Cores           float64 // 1 or more; a fraction of a core is not used
	MemoryKB        float64 // for requests and idempotency records; 0: unlimited
	RunMemoryFactor float64 // memory of a run, as a multiple of that of its queued request; under 1: 1
	RecordKB        float64 // memory of one idempotency record

	// SurvivableRunsPerCore is the number of runs per core that the instance survives at full speed; 0: not known.
	SurvivableRunsPerCore float64
	OverloadTolerance     time.Duration // how long it survives more than SurvivableRunsPerCore
	Halt                  HaltMode      // what happens to a run that is stopped
	Tick                  time.Duration // resolution of timers
	DrainGrace            time.Duration // requests that arrive within this time after the notice to drain may run

	JustStarted      bool          // whether the instance warms up
	WarmUp           time.Duration // duration of the warm-up, from the start
	WarmUpSpeedShare float64       // speed at the start, as a share of full speed, 0 to 1

	Upstream            UpstreamKind
	UpstreamShare       float64       // calls that this instance may have open if Upstream is shared; 0: a limit per core
	UpstreamWindow      time.Duration // a share below 1 is a part of the time, averaged over this window
	TimedOutCallLinger  time.Duration // how long a call that timed out still occupies the upstream
	CoalescedReadWindow time.Duration // how long the result of a read answers duplicates; 0: reads are not coalesced

	LoadSignal         LoadSignal
	LoadSignalLifetime time.Duration // how long callers use a load report
	RetryAfterAllowed  bool          // whether callers are sent Retry-After advice
	MaxRetryAfter      time.Duration
	MaxIdleTimeout     time.Duration // for unused connections; 0: they are not closed
	CancellationsSeen  bool          // whether the instance is notified when a caller has disconnected
	RetriesMarked      bool          // whether retries are marked

	Callers         float64 // number of callers that may send requests here; 0: not known
	FleetSize       float64 // number of instances that share the tenants' quotas; under 1: 1
	Tier            float64 // 0: the first tier, which external callers reach
	OverQuotaWeight float64 // weight of a request beyond its tenant's quota, as a share of its class's weight
}

// ClassSettings configures one class of requests.
type ClassSettings struct {
	Name              Class
	Weight            float64       // priority weight
	LatencyObjective  time.Duration // from arrival to answer
	ObjectivePerWork  float64       // the objective grows by this multiple of the request's estimated work
	Timeout           time.Duration // when an answer is due if the caller sets no deadline
	LateValue         float64       // value of an answer after the objective, as a share of the value of one in time
	Idempotency       Idempotency
	IdempotencyWindow time.Duration // from arrival; duplicates within it receive the result of the first request
	CallsUpstream     bool          // whether its runs call the upstream
	SkippedCallValue  float64       // value of an answer without the upstream call; 0: calls cannot be skipped
}

// TenantSettings configures one tenant.
type TenantSettings struct {
	Name           TenantID
	QuotaPerSecond float64 // requests per second to the whole fleet; 0: no quota
	Share          float64 // of all traffic, 0 to 1
}

// minDuration is the shortest meaningful objective or timeout: the resolution of a caller's clock.
const minDuration = time.Millisecond

// ApplyDefaults replaces values that are too short or out of range. The decisions divide by a latency objective and
// derive durations from the other values.
func (s *Settings) ApplyDefaults() {
	for i := range s.Classes {
		s.Classes[i].applyDefaults()
	}
	s.WarmUpSpeedShare = min(1, max(0, s.WarmUpSpeedShare))
}

// applyDefaults replaces a missing objective by the timeout and a missing timeout by the objective. If both are
// missing, they are set to one second, the unit in which both are configured.
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

// Errors returned by Settings.Validate. Compare with errors.Is.
var (
	ErrNoCores   = errors.New("cores: 1 or more are required")
	ErrNoClasses = errors.New("classes: at least one is required")
)

// Validate returns an error if a Controller cannot work with the settings: ErrNoCores, ErrNoClasses, or both
// joined.
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

// Idempotency states whether a request may run more than once.
type Idempotency int

// Values of Idempotency.
const (
	NotIdempotent   Idempotency = iota // must not run twice
	Idempotent                         // may run any number of times
	IdempotentByKey                    // one of the attempts with the same key runs, and its result answers the others
)

var idempotencyNames = [...]string{
	NotIdempotent:   "not idempotent",
	Idempotent:      "idempotent",
	IdempotentByKey: "idempotent by key",
}

func (i Idempotency) String() string { return enumString("Idempotency", idempotencyNames[:], int(i)) }

// HaltMode is the way in which the runtime stops a run.
type HaltMode int

// Values of HaltMode.
const (
	HaltNone  HaltMode = iota // runs cannot be stopped
	HaltDrop                  // the run ends
	HaltPause                 // the run is paused and leaves the cores
)

var haltModeNames = [...]string{
	HaltNone:  "none",
	HaltDrop:  "drop",
	HaltPause: "pause",
}

func (h HaltMode) String() string { return enumString("HaltMode", haltModeNames[:], int(h)) }

// UpstreamKind is the kind of upstream that requests call while they run.
type UpstreamKind int

// The kinds differ in which party protects the upstream from overload.
const (
	UpstreamUnspecified UpstreamKind = iota // not configured
	UpstreamNone                            // this tier calls no upstream
	UpstreamShared                          // shared by all instances, which may overload it
	UpstreamNextTier                        // another fleet, with its own admission control
	UpstreamUnknown                         // a kind that this version does not support
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

// LoadSignal is the kind of value in a load report. Callers use the value to decide what to send.
type LoadSignal int

// Values of LoadSignal.
const (
	LoadSignalNone      LoadSignal = iota // there are no load reports
	LoadSignalChance                      // the probability, 0 to 1, with which a caller should send a request here
	LoadSignalLeastRank                   // the lowest rank, 0 to less than 1, of requests that are accepted
	LoadSignalTokens                      // requests that each caller may have here; a fraction is a probability
)

var loadSignalNames = [...]string{
	LoadSignalNone:      "none",
	LoadSignalChance:    "chance",
	LoadSignalLeastRank: "least rank",
	LoadSignalTokens:    "tokens",
}

func (s LoadSignal) String() string { return enumString("LoadSignal", loadSignalNames[:], int(s)) }
