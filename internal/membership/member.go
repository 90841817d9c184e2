package membership

import "time"

// State is the state of a member. Its names are shown on status sockets.
type State uint8

// The states, in the order of a member's life cycle.
const (
	StateJoining State = iota // its descriptor was received, but it has not yet reported that it can serve
	StateWarming              // it serves at less than its full rate
	StateUp                   // it serves
	StateSuspect              // it may have failed or is flapping; see Reason
	StateLeaving              // it has reported that it drains
	StateGone                 // it has left or was declared gone
	StateFenced               // a later process has its name
)

var stateNames = [...]string{"joining", "warming", "up", "suspect", "leaving", "gone", "fenced"}

func (s State) String() string { return stateNames[s] }

// Available reports whether work may be sent to a member in this state.
func (s State) Available() bool { return s == StateWarming || s == StateUp }

// Present reports whether a member in this state is still part of the fleet.
func (s State) Present() bool { return s != StateGone && s != StateFenced }

// Reason is the reason for the state of a member. Its names are shown on status sockets.
type Reason uint8

// The values of Reason.
const (
	ReasonDiscovered  Reason = iota // its descriptor was received
	ReasonReady                     // it reported that it can serve
	ReasonWarmedUp                  // its warm-up has ended
	ReasonUnreachable               // the failure detector does not reach it
	ReasonSilent                    // the failure detector reaches it, but it publishes no heartbeats
	ReasonFlapping                  // it has returned too often recently
	ReasonRecovered                 // it was unreachable, silent or flapping and has recovered
	ReasonDraining                  // it reported that it drains
	ReasonLeft                      // it announced that it left
	ReasonTimedOut                  // it was suspect for too long
	ReasonSuperseded                // a later process has its name
)

var reasonNames = [...]string{"claimed", "ready", "warmed", "unreached", "mute", "flapping", "returned", "said", "left",
	"given-up", "superseded"}

func (r Reason) String() string { return reasonNames[r] }

// Member is the state of one member in a table. It is a value and is never changed in place.
type Member struct {
	Descriptor
	State       State
	Reason      Reason
	StateSince  time.Duration // when it entered the state, by the local clock
	Sequence    uint64        // sequence of its last heartbeat, 0 if there was none
	HeartbeatAt time.Duration // when its last heartbeat was written, by the local clock
	Metrics     []Metric      // metrics of its last heartbeat; never changed in place

	fingerprint  uint64 // Fingerprint of its identity
	viewDigest   uint64 // digest of its view as of its last heartbeat
	ready        bool
	readyFor     time.Duration // how long it had been ready at its last heartbeat
	warmUpUntil  time.Duration // when its warm-up ends
	reachability reachability
	lastHeardAt  time.Duration // when it last published or returned, by the judgement clock
	flapping     flapPenalty
}

// reachability records the failure detector's reports about a member.
type reachability struct {
	lost       bool          // the failure detector does not reach it
	lostSince  time.Duration // when it was reported lost, by the judgement clock
	reportedAt time.Duration // when it was reported lost, by the local clock
	// flapExempt is set if the member's return is not a flap: it was lost while this process was not healthy or
	// together with many others, or a heartbeat refuted the report.
	flapExempt bool
}

// Metric returns the value and the age of a metric. ok is false if the member has no metric with the name or the
// metric is past its TTL.
func (m Member) Metric(name string, now time.Duration) (value float64, age time.Duration, ok bool) {
	for _, metric := range m.Metrics {
		if metric.Name == name {
			age = now - metric.MeasuredAt
			return metric.Value, age, age <= metric.TTL
		}
	}
	return 0, 0, false
}

// WarmUpRemaining returns the time until the member has reached its full rate.
func (m Member) WarmUpRemaining(now time.Duration) time.Duration { return max(0, m.warmUpUntil-now) }

// Heartbeat returns the last heartbeat of the member, and its age.
func (m Member) Heartbeat(now time.Duration) (heartbeat Heartbeat, age time.Duration) {
	heartbeat = Heartbeat{
		ID:          m.ID(),
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		Ready:       m.ready,
		ReadyFor:    m.readyFor,
		Draining:    m.Reason == ReasonDraining,
		ViewDigest:  m.viewDigest,
		Metrics:     m.Metrics,
	}
	return heartbeat, now - m.HeartbeatAt
}
