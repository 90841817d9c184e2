package membership

import (
	"math"
	"time"
)

// Metric is one value that a member publishes of itself.
type Metric struct {
	Name       string
	Value      float64
	TTL        time.Duration // for how long it is believed
	MeasuredAt time.Duration // by our clock; its age when it arrived is taken off
}

// Heartbeat is what a member publishes from time to time. Its times are durations, as clocks differ.
type Heartbeat struct {
	ID
	Incarnation Incarnation
	Sequence    uint64 // the greatest counts, in whatever order they come
	Ready       bool   // it can serve
	ReadyFor    time.Duration
	Draining    bool
	ViewDigest  uint64 // of its view with itself in it; 0 for none
	Metrics     []Metric
}

// HandleHeartbeat takes a heartbeat that was written age ago, and reports whether it was news: one that is outdated or
// breaks a limit changes nothing.
func (t *Table) HandleHeartbeat(heartbeat Heartbeat, age time.Duration, now time.Duration) bool {
	member, found := t.members.Get(heartbeat.Name)
	if !found || member.BootID != heartbeat.BootID || heartbeat.Sequence <= member.Sequence {
		t.Stats.StaleHeartbeats++
		return false
	}
	if len(heartbeat.Metrics) > t.config.MaxMetrics || age < 0 {
		t.Stats.InvalidHeartbeats++
		return false
	}
	if now < t.settlingUntil { // it may have waited while this process stood still
		age += t.lastStall
	}
	member.lastHeardAt = t.clock.at(now)
	t.recordHeartbeat(&member, heartbeat, now-age)
	t.applyHeartbeat(member, heartbeat.Draining, now)
	t.publishView(now)
	return true
}

// record copies a heartbeat that was written at writtenAt into a member.
func (t *Table) recordHeartbeat(member *Member, heartbeat Heartbeat, writtenAt time.Duration) {
	member.Sequence = heartbeat.Sequence
	member.HeartbeatAt = writtenAt
	member.ready = heartbeat.Ready
	member.readyFor = heartbeat.ReadyFor
	member.viewDigest = heartbeat.ViewDigest
	if heartbeat.Ready && member.State != StateUp {
		member.warmUpUntil = writtenAt - heartbeat.ReadyFor + member.WarmUp
	}
	maxTTL := t.maxMetricTTL()
	member.Metrics = nil
	for _, metric := range heartbeat.Metrics {
		if math.IsNaN(metric.Value) || math.IsInf(metric.Value, 0) { // cannot be compared
			continue
		}
		metric.TTL = min(max(0, metric.TTL), maxTTL)
		metric.MeasuredAt = writtenAt
		member.Metrics = append(member.Metrics, metric)
	}
}

// applyHeartbeat stores a member whose heartbeat was recorded, in the state that follows from it.
func (t *Table) applyHeartbeat(member Member, draining bool, now time.Duration) {
	switch {
	case !member.State.Present(): // hearsay of one that is gone: its descriptor has to come first
		t.members = t.members.Set(member.Name, member)
	case draining:
		t.transition(member, StateLeaving, ReasonDraining, now)
	case t.refutesReport(member):
		member.reachability.flapExempt = true
		t.markReachable(member, now)
	case member.State == StateSuspect && member.Reason == ReasonSilent:
		t.reclassify(member, ReasonRecovered, now)
	case member.State == StateJoining && member.ready && !member.reachability.unreachable:
		t.reclassify(member, ReasonReady, now)
	default:
		t.members = t.members.Set(member.Name, member)
	}
}

// refutesReport reports whether a member's last heartbeat was written well after the detector reported it
// unreachable: it lives, and has not flapped. A process that missed the refutation would otherwise declare gone by
// itself whom all others reach, and hear no more of it for many seconds.
func (t *Table) refutesReport(member Member) bool {
	return member.reachability.unreachable && member.HeartbeatAt > member.reachability.reportedAt+t.config.SuspectAfter
}

// HeartbeatInterval is the mean time between two heartbeats of a member. It grows with the fleet, so that the
// heartbeats of all members together stay under the configured rate.
func (t *Table) HeartbeatInterval() time.Duration { return t.heartbeatIntervalFor(t.members.Len() + 1) }

func (t *Table) heartbeatIntervalFor(fleetSize int) time.Duration {
	interval := time.Duration(float64(fleetSize) / t.config.FleetHeartbeatRate * float64(time.Second))
	return max(t.config.HeartbeatInterval, interval)
}

// MetricTTL is for how long a metric that each heartbeat carries is believed: two may be lost on the way.
func (t *Table) MetricTTL() time.Duration { return 3 * t.HeartbeatInterval() }

// maxMetricTTL bounds the TTL that a member may ask for, so that a value that is published once is not believed for
// ever.
func (t *Table) maxMetricTTL() time.Duration {
	const minFleetSize = 10
	return 4 * t.heartbeatIntervalFor(max(t.members.Len()+1, minFleetSize))
}

// heartbeatGrace is how long a member that has just published is waited for: until its next heartbeat is due, twice
// over. A member that is really gone has been silent for about as long when the detector reports it, so this costs no
// time then.
func (t *Table) heartbeatGrace() time.Duration {
	const maxGrace = 3 * time.Second
	return min(2*t.HeartbeatInterval(), maxGrace)
}
