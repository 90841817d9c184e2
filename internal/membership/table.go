package membership

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// Change is one change of a member's state.
type Change struct {
	ID
	Incarnation Incarnation
	From        State
	To          State
	Reason      Reason
	ViewVersion uint64 // version of the first view that contains the change
}

// Stats counts events since the start of this process.
type Stats struct {
	Transitions          uint64 // changes of a member's state
	RejectedFull         uint64 // descriptors rejected because the table was full
	StaleHeartbeats      uint64 // heartbeats of an unknown process, or not newer than the last one
	InvalidHeartbeats    uint64 // heartbeats with too many metrics or a negative age
	OutdatedIncarnations uint64 // descriptors or notices of an earlier process of a name
	RefutedSuspicions    uint64 // reports of the failure detector that proved false
	Stalls               uint64 // stalls of this process
}

// Table holds the members and decides their states. Its methods may be called by one goroutine only. The views that it
// publishes may be read by any goroutine.
type Table struct {
	config       Config
	self         Descriptor
	members      *immutable.SortedMap[Name, Member]
	connectivity *connectivityMonitor
	version      uint64
	view         *View
	changes      []Change

	start             time.Duration
	lastTick          time.Duration
	lastStall         time.Duration // duration of the last stall of this process
	settlingUntil     time.Duration // until when the local view may be out of date after a stall
	clock             pausableClock
	incarnationRaises int // how often this process raised its own incarnation
	fenced            bool
	viewDigest        uint64        // digest of the local view, including this process
	viewDigestSince   time.Duration // when viewDigest last changed
	fenceNotices      fenceNotices
	joins             joinSchedule

	Stats Stats
}

// NewTable returns a table without other members for the process that self describes.
func NewTable(self Descriptor, config Config, now time.Duration) *Table {
	table := &Table{
		config:       config,
		self:         self,
		members:      immutable.NewSortedMap[Name, Member](nameComparer{}),
		connectivity: newConnectivityMonitor(config.Connectivity, now),
		start:        now,
		lastTick:     now,
		fenceNotices: fenceNotices{},
		joins:        joinSchedule{attempts: map[string]joinAttempt{}},
	}
	table.publishView(now)
	return table
}

// SetConfig replaces the configuration. Deadlines that were already computed from the previous one do not change.
func (t *Table) SetConfig(config Config) {
	t.config = config
	t.connectivity.config = config.Connectivity
}

// Self returns the descriptor of this process with its current incarnation.
func (t *Table) Self() Descriptor { return t.self }

// View returns the last published view.
func (t *Table) View() *View { return t.view }

// ViewDigest returns the digest of the local view, including this process. The heartbeats of this process carry it.
func (t *Table) ViewDigest() uint64 { return t.viewDigest }

// TakeChanges returns the changes since the previous call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Table) publishView(now time.Duration) {
	t.version++
	t.view = &View{
		Version:       t.version,
		PublishedAt:   now,
		Self:          t.self,
		LocalHealth:   t.localHealth(now),
		HeardFraction: t.connectivity.heardFraction,
		members:       t.members,
	}
	digest := t.view.Digest() ^ Fingerprint(t.self.ID())
	if digest != t.viewDigest {
		t.viewDigest = digest
		t.viewDigestSince = now
	}
}

// transition stores a member with a state and a reason. It records a change if the state, the reason or the process
// differs from the stored one.
func (t *Table) transition(member Member, state State, reason Reason, now time.Duration) {
	previous, found := t.members.Get(member.Name)
	if found && previous.State == state && previous.Reason == reason && previous.BootID == member.BootID {
		t.members = t.members.Set(member.Name, member)
		return
	}
	member.State = state
	member.Reason = reason
	member.StateSince = now
	t.members = t.members.Set(member.Name, member)
	from := previous.State
	if !found || previous.BootID != member.BootID {
		from = StateJoining
	}
	t.recordChange(member, from, state, reason)
}

func (t *Table) recordChange(member Member, from, to State, reason Reason) {
	t.Stats.Transitions++
	t.changes = append(t.changes, Change{
		ID:          member.ID(),
		Incarnation: member.Incarnation,
		From:        from,
		To:          to,
		Reason:      reason,
		ViewVersion: t.version + 1,
	})
}

// heardFractionStep is the minimum change of the heard fraction that causes a new view to be published.
const heardFractionStep = 0.1

// Tick applies the deadlines that have passed. It must be called several times per stall threshold: if the time between
// two calls exceeds the threshold, it counts as a stall of this process.
func (t *Table) Tick(now time.Duration) {
	elapsed := now - t.lastTick
	t.lastTick = now
	stalled := elapsed > t.config.StallThreshold
	if stalled {
		t.Stats.Stalls++
		t.lastStall = elapsed
		t.settlingUntil = now + t.config.SettleTime
		t.clock.skip(elapsed)
	}
	t.connectivity.advance(now, t.countPresentMembers(), stalled)
	health := t.localHealth(now)
	if health.CanDeclareGone() {
		t.clock.resume(now)
	} else {
		t.clock.pause(now)
	}
	previousMembers := t.members
	t.exemptMassOutage()
	if !t.clock.paused {
		for member := range allMembers(previousMembers) {
			t.applyDeadlines(member, now)
		}
	}
	t.evictGone(now, false)
	heardChange := math.Abs(t.connectivity.heardFraction - t.view.HeardFraction)
	if t.members != previousMembers || health != t.view.LocalHealth || heardChange >= heardFractionStep {
		t.publishView(now)
	}
}

// applyDeadlines applies the deadlines of a member that have passed.
func (t *Table) applyDeadlines(member Member, now time.Duration) {
	damping := t.config.FlapDamping
	if member.flapping.suppressed && member.flapping.decayedValue(damping, now) < damping.ReuseLimit {
		member.flapping.suppressed = false
		if member.State == StateSuspect && !member.reachability.unreachable {
			t.reclassify(member, ReasonRecovered, now)
			return
		}
		t.members = t.members.Set(member.Name, member)
	}
	unreachableFor := t.clock.at(now) - member.reachability.unreachableSince
	switch member.State {
	case StateJoining, StateWarming, StateUp:
		t.applyServingDeadlines(member, now)
	case StateSuspect:
		if member.reachability.unreachable && unreachableFor >= t.config.SuspectAfter+t.config.GoneAfter {
			t.transition(member, StateGone, ReasonTimedOut, now)
		}
	case StateLeaving:
		if member.reachability.unreachable {
			t.transition(member, StateGone, ReasonLeft, now)
		}
	}
}

// applyServingDeadlines applies the deadlines of a member that is joining, warming or up.
func (t *Table) applyServingDeadlines(member Member, now time.Duration) {
	clockNow := t.clock.at(now)
	unreachableFor := clockNow - member.reachability.unreachableSince
	silentFor := clockNow - member.lastHeardAt
	nextHeartbeatMissed := now >= member.HeartbeatAt+t.heartbeatGrace()+t.config.SuspectAfter
	switch {
	case member.reachability.unreachable && unreachableFor >= t.config.SuspectAfter && nextHeartbeatMissed:
		t.transition(member, StateSuspect, ReasonUnreachable, now)
	case member.State == StateWarming && now >= member.warmUpUntil:
		t.transition(member, StateUp, ReasonWarmedUp, now)
	case member.State != StateJoining && silentFor > t.maxMetricTTL()+t.config.SilentAfter:
		t.transition(member, StateSuspect, ReasonSilent, now)
	}
}

// evictGone deletes the members that have been gone for longer than the retention time. If there are none and needRoom
// is set, it deletes the member that has been gone longest. It reports whether the table has room for another.
// Outdated processes are fenced by the names and incarnations of gone members, so these are kept as long as possible.
func (t *Table) evictGone(now time.Duration, needRoom bool) bool {
	var oldest *Member
	for member := range allMembers(t.members) {
		if member.State != StateGone {
			continue
		}
		if now-member.StateSince > t.config.GoneRetention {
			t.members = t.members.Delete(member.Name)
			needRoom = false
			continue
		}
		if oldest == nil || member.StateSince < oldest.StateSince {
			oldest = &member
		}
	}
	if needRoom && oldest != nil {
		t.members = t.members.Delete(oldest.Name)
	}
	t.fenceNotices.expire(now, t.config.GoneRetention)
	return t.members.Len() < t.config.MaxMembers
}
