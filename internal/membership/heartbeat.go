package membership

import (
	"math"
	"time"
)

// Metric is one value that a member publishes about itself.
type Metric struct {
	Name       string
	Value      float64
	TTL        time.Duration // how long it is valid
	MeasuredAt time.Duration // by the local clock: the time of receipt minus its age at that time
}

// Heartbeat is the status that a member publishes periodically. It contains durations instead of times, because the
// clocks of members differ.
type Heartbeat struct {
	ID
	Incarnation Incarnation
	Sequence    uint64        // the heartbeat with the highest sequence applies, in any order of arrival
	Ready       bool          // it can serve
	ReadyFor    time.Duration // time since it became ready
	Draining    bool
	ViewDigest  uint64 // digest of its view, including itself; 0: none
	Metrics     []Metric
}

// HandleHeartbeat handles a heartbeat that was written the duration age ago. It reports whether the heartbeat was
// new; an outdated or invalid one changes nothing but the counters in Stats.
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
	if now < t.settlingUntil { // it may have been queued during the stall
		age += t.lastStall
	}
	member.lastHeardAt = t.clock.at(now)
	t.recordHeartbeat(&member, heartbeat, now-age)
	t.applyHeartbeat(member, heartbeat.Draining, now)
	t.publishView(now)
	return true
}

// recordHeartbeat copies a heartbeat that was written at writtenAt into a member.
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

// applyHeartbeat stores a member whose heartbeat was recorded, with the state that follows from the heartbeat.
func (t *Table) applyHeartbeat(member Member, draining bool, now time.Duration) {
	switch {
	case !member.State.Present(): // a gone member returns only by its descriptor
		t.members = t.members.Set(member.Name, member)
	case draining:
		t.transition(member, StateLeaving, ReasonDraining, now)
	case t.refutesReport(member):
		member.reachability.flapExempt = true
		t.markReachable(member, now)
	case member.State == StateSuspect && member.Reason == ReasonSilent:
		t.reclassify(member, ReasonRecovered, now)
	case member.State == StateJoining && member.ready && !member.reachability.lost:
		t.reclassify(member, ReasonReady, now)
	default:
		t.members = t.members.Set(member.Name, member)
	}
}

// refutesReport reports whether a member's last heartbeat was written well after the failure detector reported the
// member unreachable. The member is then alive and has not flapped. Without this check, a process that missed the
// refutation by gossip would be the only one to declare the member gone, and would not learn of the error for many
// seconds.
func (t *Table) refutesReport(member Member) bool {
	return member.reachability.lost && member.HeartbeatAt > member.reachability.reportedAt+t.config.SuspectAfter
}

// HeartbeatInterval returns the mean interval between two heartbeats of a member. It grows with the fleet, so that
// the heartbeats of all members together do not exceed the configured rate.
func (t *Table) HeartbeatInterval() time.Duration { return t.heartbeatIntervalFor(t.members.Len() + 1) }

func (t *Table) heartbeatIntervalFor(fleetSize int) time.Duration {
	interval := time.Duration(float64(fleetSize) / t.config.FleetHeartbeatRate * float64(time.Second))
	return max(t.config.HeartbeatInterval, interval)
}

// MetricTTL returns the TTL of a metric that is part of every heartbeat: the metric remains valid if two heartbeats
// in a row are lost.
func (t *Table) MetricTTL() time.Duration { return 3 * t.HeartbeatInterval() }

// maxMetricTTL returns the maximum TTL of a metric, so that a value that is published only once does not remain valid
// indefinitely.
func (t *Table) maxMetricTTL() time.Duration {
	const minFleetSize = 10
	return 4 * t.heartbeatIntervalFor(max(t.members.Len()+1, minFleetSize))
}

// heartbeatGrace returns the time after a member's last heartbeat in which the member does not become suspect: two
// heartbeat intervals, but at most maxGrace. It does not delay the detection of a member that has really failed,
// because such a member has been silent for about as long when the failure detector reports it.
func (t *Table) heartbeatGrace() time.Duration {
	const maxGrace = 3 * time.Second
	return min(2*t.HeartbeatInterval(), maxGrace)
}
