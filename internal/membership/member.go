package membership

import "time"

// State is the state of a member. Its names are shown on status sockets.
type State uint8

// The states, in the order of a member's life cycle.
const (
	StateJoining State = iota // its descriptor was received, but it has not reported that it can serve
	StateWarming              // it serves at less than its full rate
	StateUp                   // it serves
	StateSuspect              // it may have failed or is flapping; see Reason
	StateLeaving              // it reported that it is draining
	StateGone                 // it left, or was declared gone
	StateFenced               // a later process has taken its name
)

var stateNames = [...]string{"joining", "warming", "up", "suspect", "leaving", "gone", "fenced"}

func (s State) String() string { return stateNames[s] }

// Available reports whether work may be sent to a member in this state.
func (s State) Available() bool { return s == StateWarming || s == StateUp }

// Present reports whether a member in this state is still part of the fleet.
func (s State) Present() bool { return s != StateGone && s != StateFenced }

// Reason is the cause of a member's state. Its names are shown on status sockets.
type Reason uint8

// The reasons.
const (
	ReasonDiscovered  Reason = iota // its descriptor was received
	ReasonReady                     // it reported that it can serve
	ReasonWarmedUp                  // its warm-up has ended
	ReasonUnreachable               // the failure detector reported it unreachable
	ReasonSilent                    // it is reachable by gossip but publishes no heartbeats
	ReasonFlapping                  // it returned too often recently
	ReasonRecovered                 // it is no longer unreachable, silent or suppressed for flapping
	ReasonDraining                  // it reported that it is draining
	ReasonLeft                      // it announced that it left
	ReasonTimedOut                  // it was suspect for too long
	ReasonSuperseded                // a later process has taken its name
)

var reasonNames = [...]string{"claimed", "ready", "warmed", "unreached", "mute", "flapping", "returned", "said", "left",
	"given-up", "superseded"}

func (r Reason) String() string { return reasonNames[r] }

// Member is the local record of one member. It is a value that is never modified in place.
type Member struct {
	Descriptor
	State       State
	Reason      Reason
	StateSince  time.Duration // when it entered the state, on the local clock
	Sequence    uint64        // sequence number of its last heartbeat
	HeartbeatAt time.Duration // when its last heartbeat was written, on the local clock
	Metrics     []Metric      // metrics of its last heartbeat, never modified in place

	fingerprint  uint64 // Fingerprint of its ID
	viewDigest   uint64 // digest of its view, from its last heartbeat
	ready        bool
	readyFor     time.Duration // how long it had been ready at its last heartbeat
	warmUpUntil  time.Duration // when its warm-up ends, on the local clock
	reachability reachability
	lastHeardAt  time.Duration // when it last published or returned, on Table.clock
	flapping     flapPenalty
}

// reachability records the failure detector's last report about a member.
type reachability struct {
	unreachable      bool          // the detector cannot reach it
	unreachableSince time.Duration // when it became unreachable, on Table.clock
	reportedAt       time.Duration // when the detector reported it, on the local clock
	// flapExempt excludes its return from the flap penalty: it became unreachable while this process was not healthy, or
	// together with many other members, or its heartbeats refuted the report.
	flapExempt bool
}

// Metric returns the value and the age of a metric. ok is false if the member has no metric of that name or the metric
// is older than its TTL.
func (m Member) Metric(name string, now time.Duration) (value float64, age time.Duration, ok bool) {
	for _, metric := range m.Metrics {
		if metric.Name == name {
			age = now - metric.MeasuredAt
			return metric.Value, age, age <= metric.TTL
		}
	}
	return 0, 0, false
}

// WarmUpRemaining returns the time until the member reaches its full rate, or 0.
func (m Member) WarmUpRemaining(now time.Duration) time.Duration { return max(0, m.warmUpUntil-now) }

// Heartbeat returns the last heartbeat that the member published, and its age.
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
