package membership

import (
	"math"
	"time"
)

// Metric is one thing that a member says of itself for now.
type Metric struct {
	Name       string
	Value      float64
	TTL        time.Duration // for how long it is believed
	MeasuredAt time.Duration // by our own time; how old it was when it came is taken off
}

// Heartbeat is what a member says from time to time. Its times are spans, as clocks differ.
type Heartbeat struct {
	ID
	Incarnation Incarnation
	Sequence    uint64 // the later one counts, by whatever way it came
	Ready       bool   // it can serve
	ReadyFor    time.Duration
	Draining    bool
	ViewDigest  uint64 // of its view, itself in it; 0 for none
	Metrics     []Metric
}

// HandleHeartbeat takes a bulletin that was written age ago, and tells whether it says anything new.
func (t *Table) HandleHeartbeat(heartbeat Heartbeat, age time.Duration, now time.Duration) bool {
	member, known := t.members.Get(heartbeat.Name)
	if !known || member.BootID != heartbeat.BootID || heartbeat.Sequence <= member.Sequence {
		t.Stats.StaleHeartbeats++
		return false
	}
	// Danger: facts by the hundred, or that hold for ever. What no member may say is no bulletin.
	if len(heartbeat.Metrics) > t.config.MaxMetrics || age < 0 {
		t.Stats.InvalidHeartbeats++
		return false
	}
	if now < t.settlingUntil { // it may have waited for us to wake
		age += t.lastStall
	}
	member.lastHeardAt = t.judgementClock(now)
	member.Sequence, member.HeartbeatAt, member.ready, member.readyFor, member.viewDigest = heartbeat.Sequence, now-age, heartbeat.Ready, heartbeat.ReadyFor, heartbeat.ViewDigest
	if heartbeat.Ready && member.State != StateUp {
		member.warmUpUntil = now - age - heartbeat.ReadyFor + member.WarmUp
	}
	maxTTL := t.maxMetricTTL()
	member.Metrics = nil
	for _, metric := range heartbeat.Metrics {
		if !math.IsNaN(metric.Value) && !math.IsInf(metric.Value, 0) { // what can't be compared is not a fact
			member.Metrics = append(member.Metrics, Metric{metric.Name, metric.Value, min(max(0, metric.TTL), maxTTL), now - age})
		}
	}
	switch {
	case member.State == StateGone || member.State == StateFenced: // hearsay of one that is given up: its claim has to come first
		t.members = t.members.Set(member.Name, member)
	case heartbeat.Draining:
		t.transition(member, StateLeaving, ReasonDraining, now)
	// The detector's word is of a moment. Danger: one that missed how a doubt was taken back gives up by itself whom all others reach, and
	// hears no more of it for many seconds. What a life wrote well after the word shows that it lives; it has not flapped by that.
	case member.unreachable && now-age > member.unreachableReportedAt+t.config.SuspectAfter:
		member.flapExempt = true
		t.markReachable(member, now)
	case member.State == StateSuspect && member.Reason == ReasonSilent:
		t.reclassify(member, ReasonRecovered, now)
	case member.State == StateJoining && member.ready && !member.unreachable:
		t.reclassify(member, ReasonReady, now)
	default:
		t.members = t.members.Set(member.Name, member)
	}
	t.publishView(now)
	return true
}

// HeartbeatInterval is how often each member publishes: a large fleet's bulletins together stay under the told rate.
func (t *Table) HeartbeatInterval() time.Duration { return t.heartbeatIntervalFor(t.members.Len() + 1) }

func (t *Table) heartbeatIntervalFor(fleetSize int) time.Duration {
	return max(t.config.HeartbeatInterval, time.Duration(float64(fleetSize)/t.config.FleetHeartbeatRate*float64(time.Second)))
}

// MetricTTL is for how long a fact is believed that is published again at the pace: two bulletins may be lost on the way.
func (t *Table) MetricTTL() time.Duration { return 3 * t.HeartbeatInterval() }

// maxMetricTTL is for how long any fact is believed, whatever its owner says. Danger: one that says once that it is idle, for ever.
func (t *Table) maxMetricTTL() time.Duration {
	return 4 * t.heartbeatIntervalFor(max(t.members.Len()+1, 10))
}

// heartbeatGrace is how long whoever has just spoken is waited for: until his next word is due, twice over. Who is really gone has been silent for about as
// long when the detector says so, so it costs no time then.
func (t *Table) heartbeatGrace() time.Duration { return min(2*t.HeartbeatInterval(), 3*time.Second) }
