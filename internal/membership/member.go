package membership

import "time"

// State is where a member stands. Its names are shown on status sockets.
type State uint8

// The states, in the order of a member's life.
const (
	StateJoining State = iota // its descriptor is known, not yet that it can serve
	StateWarming              // it serves, at less than its full rate
	StateUp                   // it serves
	StateSuspect              // in doubt, see Reason
	StateLeaving              // it drains, by its own word
	StateGone                 // it left, or was declared gone
	StateFenced               // a later process has its name
)

var stateNames = [...]string{"joining", "warming", "up", "suspect", "leaving", "gone", "fenced"}

func (s State) String() string { return stateNames[s] }

// Available reports whether work may be sent to a member in this state.
func (s State) Available() bool { return s == StateWarming || s == StateUp }

// Present reports whether a member in this state is part of the fleet still.
func (s State) Present() bool { return s != StateGone && s != StateFenced }

// Reason is why a member is in its state. Its names are shown on status sockets.
type Reason uint8

// The reasons.
const (
	ReasonDiscovered  Reason = iota // its descriptor was received
	ReasonReady                     // it reported that it can serve
	ReasonWarmedUp                  // its warm-up is over
	ReasonUnreachable               // the failure detector does not reach it
	ReasonSilent                    // its gossip lives, but it publishes no heartbeat
	ReasonFlapping                  // it came back too often of late
	ReasonRecovered                 // it was unreachable or silent, and is no more
	ReasonDraining                  // it reported that it drains
	ReasonLeft                      // it left by its own word
	ReasonTimedOut                  // it was in doubt for too long
	ReasonSuperseded                // a later process has its name
)

var reasonNames = [...]string{"claimed", "ready", "warmed", "unreached", "mute", "flapping", "returned", "said", "left",
	"given-up", "superseded"}

func (r Reason) String() string { return reasonNames[r] }

// Member is one member as it is known here. It is a value: nobody changes it in place.
type Member struct {
	Descriptor
	State       State
	Reason      Reason
	StateSince  time.Duration // when it came into the state, by our clock
	Sequence    uint64        // of its last heartbeat
	HeartbeatAt time.Duration // when its last heartbeat was written, by our clock
	Metrics     []Metric      // of its last heartbeat, never changed in place

	fingerprint  uint64 // Fingerprint of its identity
	viewDigest   uint64 // of its view, as of its last heartbeat
	ready        bool
	readyFor     time.Duration // how long it had been ready at its last heartbeat
	warmUpUntil  time.Duration // when its warm-up is over
	reachability reachability
	lastHeardAt  time.Duration // when it last published or came back, by the judgement clock
	flapping     flapPenalty
}

// reachability is what the failure detector reported of a member.
type reachability struct {
	unreachable      bool          // the detector does not reach it
	unreachableSince time.Duration // since when, by the judgement clock
	reportedAt       time.Duration // when the detector said so, by our clock
	flapExempt       bool          // it was lost while we were not healthy ourselves, or with many others
}

// Metric gives the value of a metric and its age; ok is false if the member has no such metric or it is past its TTL.
func (m Member) Metric(name string, now time.Duration) (value float64, age time.Duration, ok bool) {
	for _, metric := range m.Metrics {
		if metric.Name == name {
			age = now - metric.MeasuredAt
			return metric.Value, age, age <= metric.TTL
		}
	}
	return 0, 0, false
}

// WarmUpRemaining is how long a member still has to its full rate.
func (m Member) WarmUpRemaining(now time.Duration) time.Duration { return max(0, m.warmUpUntil-now) }

// Heartbeat gives the last heartbeat that a member published, and its age.
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
