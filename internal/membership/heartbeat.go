package membership

import (
	"math"
	"time"
)

// Metric is a value that a member publishes about itself.
type Metric struct {
	Name       string
	Value      float64
	TTL        time.Duration // how long the value is valid
	MeasuredAt time.Duration // time of receipt minus the age of the heartbeat, on the local clock
}

// Heartbeat is the message that a member publishes periodically. Its times are durations, because clocks differ between
// hosts.
type Heartbeat struct {
	ID
	Incarnation Incarnation
	Sequence    uint64        // the heartbeat with the highest number applies, in any order of arrival
	Ready       bool          // the member can serve
	ReadyFor    time.Duration // time since it became ready
	Draining    bool
	ViewDigest  uint64 // digest of its view, including itself; 0 for none
	Metrics     []Metric
}

// HandleHeartbeat processes a heartbeat that was written age ago and reports whether it was accepted. A heartbeat that
// is outdated, from an unknown process or invalid is counted and otherwise ignored.
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
	if now < t.settlingUntil { // it may have been queued while this process was stalled
		age += t.lastStall
	}
	member.lastHeardAt = t.clock.at(now)
	t.recordHeartbeat(&member, heartbeat, now-age)
	t.applyHeartbeat(member, heartbeat.Draining, now)
	t.publishView(now)
	return true
}

// recordHeartbeat copies a heartbeat that was written at writtenAt, on the local clock, into a member.
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
		if math.IsNaN(metric.Value) || math.IsInf(metric.Value, 0) { // such values cannot be compared
			continue
		}
		metric.TTL = min(max(0, metric.TTL), maxTTL)
		metric.MeasuredAt = writtenAt
		member.Metrics = append(member.Metrics, metric)
	}
}

// applyHeartbeat stores a member with the state that follows from its recorded heartbeat.
func (t *Table) applyHeartbeat(member Member, draining bool, now time.Duration) {
	switch {
	case !member.State.Present(): // a relayed heartbeat of a gone member: only a descriptor brings it back
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

// refutesReport reports whether a member's last heartbeat was written long enough after the detector reported the
// member unreachable to prove that it is alive and has not flapped. Without this check, a process that missed the
// refutation would declare a member gone that all others reach, and would not hear of it again for many seconds.
func (t *Table) refutesReport(member Member) bool {
	return member.reachability.unreachable && member.HeartbeatAt > member.reachability.reportedAt+t.config.SuspectAfter
}

// HeartbeatInterval returns the mean time between two heartbeats of a member. It grows with the fleet, so that the
// heartbeats of all members together stay within the configured rate.
func (t *Table) HeartbeatInterval() time.Duration { return t.heartbeatIntervalFor(t.members.Len() + 1) }

func (t *Table) heartbeatIntervalFor(fleetSize int) time.Duration {
	interval := time.Duration(float64(fleetSize) / t.config.FleetHeartbeatRate * float64(time.Second))
	return max(t.config.HeartbeatInterval, interval)
}

// MetricTTL returns the TTL of a metric that is part of every heartbeat. It allows for the loss of two heartbeats.
func (t *Table) MetricTTL() time.Duration { return 3 * t.HeartbeatInterval() }

// maxMetricTTL returns the upper limit of the TTL that a member may request, so that a value that is published once
// does not stay valid forever.
func (t *Table) maxMetricTTL() time.Duration {
	const minFleetSize = 10
	return 4 * t.heartbeatIntervalFor(max(t.members.Len()+1, minFleetSize))
}

// heartbeatGrace returns the time after a heartbeat within which the next one is not overdue: two heartbeat intervals,
// but at most maxGrace. A member that has really failed has been silent for about this long when the detector reports
// it, so the grace period does not delay its detection.
func (t *Table) heartbeatGrace() time.Duration {
	const maxGrace = 3 * time.Second
	return min(2*t.HeartbeatInterval(), maxGrace)
}
