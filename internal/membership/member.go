package membership

import (
	"time"
)

// State is where a member stands.
type State uint8

const (
	StateJoining State = iota // its claim was heard, not yet that it can serve
	StateWarming              // it serves, below its full pace
	StateUp
	StateSuspect // in doubt, see Reason
	StateLeaving // it said so
	StateGone    // left, or given up
	StateFenced  // a later life has its name
)

var stateNames = [...]string{"joining", "warming", "up", "suspect", "leaving", "gone", "fenced"}

func (s State) String() string { return stateNames[s] }

// Available tells whether work may be meant for a member in this state.
func (s State) Available() bool { return s == StateWarming || s == StateUp }

// Reason is why a member is in its state.
type Reason string

const (
	ReasonDiscovered  Reason = "claimed"
	ReasonReady       Reason = "ready"
	ReasonWarmedUp    Reason = "warmed"
	ReasonUnreachable Reason = "unreached" // the detector has given it up
	ReasonSilent      Reason = "mute"      // its gossip lives, its program says nothing
	ReasonFlapping    Reason = "flapping"  // it came back too often of late
	ReasonRecovered   Reason = "returned"
	ReasonDraining    Reason = "said" // that it leaves
	ReasonLeft        Reason = "left"
	ReasonTimedOut    Reason = "given-up" // in doubt for too long
	ReasonSuperseded  Reason = "superseded"
)

// Member is one member as it is believed to be. It is a value: nobody changes it.
type Member struct {
	Descriptor
	State       State
	Reason      Reason
	StateSince  time.Duration // when it came into the state, by our own time
	Sequence    uint64
	HeartbeatAt time.Duration // when its last bulletin was written, by our own time
	Metrics     []Metric      // the last that it published, never changed in place

	fingerprint           uint64 // Mark of its life
	viewDigest            uint64 // of its view, as of Spoke
	ready                 bool
	readyFor              time.Duration // how long it had been ready at its last bulletin
	warmUpUntil           time.Duration // when it is warm
	unreachable           bool          // the detector does not reach it
	unreachableSince      time.Duration // since when, by the judgement's clock
	unreachableReportedAt time.Duration // when that was said, by our own time
	flapExempt            bool          // it was lost while we were not sound ourselves, or with many others
	lastHeardAt           time.Duration // when it last spoke or came back, by the judgement's clock
	flapPenalty           float64       // for coming back, as of penaltyAt
	flapPenaltyAt         time.Duration
	flapSuppressed        bool
}

// Metric gives a fact that is still believed, and how old it is.
func (m Member) Metric(name string, now time.Duration) (value float64, age time.Duration, ok bool) {
	for _, metric := range m.Metrics {
		if metric.Name == name {
			age = now - metric.MeasuredAt
			return metric.Value, age, age <= metric.TTL
		}
	}
	return 0, 0, false
}

// WarmUpRemaining is how long a member still has to its full pace.
func (m Member) WarmUpRemaining(now time.Duration) time.Duration { return max(0, m.warmUpUntil-now) }

// Heartbeat gives the last one that a member published, less what it said to stand for, and how old it is.
func (m Member) Heartbeat(now time.Duration) (heartbeat Heartbeat, age time.Duration) {
	return Heartbeat{ID: m.ID(), Incarnation: m.Incarnation, Sequence: m.Sequence, Ready: m.ready, ReadyFor: m.readyFor, Draining: m.Reason == ReasonDraining, ViewDigest: m.viewDigest, Metrics: m.Metrics}, now - m.HeartbeatAt
}
