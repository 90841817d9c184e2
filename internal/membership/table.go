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
	ViewVersion uint64 // the first that shows it
}

// Stats counts what came and what became of it, since the start.
type Stats struct {
	Transitions          uint64 // changes of a member's state
	RejectedFull         uint64 // descriptors for which there was no room
	StaleHeartbeats      uint64 // of an unknown process, or not newer than the last
	InvalidHeartbeats    uint64 // past a limit
	OutdatedIncarnations uint64 // descriptors of an earlier process of a name
	RefutedSuspicions    uint64 // reports of the failure detector that were false
	Stalls               uint64 // times that this process stood still
}

// Table holds the members and decides their states. It belongs to one goroutine; the views that it publishes may be
// read on any.
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
	lastStall         time.Duration // how long this process last stood still
	settlingUntil     time.Duration // until when what is known here may be out of date after a stall
	clock             pausableClock
	incarnationRaises int // how often our own incarnation was raised
	fenced            bool
	viewDigest        uint64        // of our view with ourselves in it
	viewDigestSince   time.Duration // when it last changed
	fenceNotices      fenceNotices
	joins             joinSchedule

	Stats Stats
}

// NewTable makes a table in which only this process is.
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

// SetConfig replaces the configuration. What runs by the earlier one goes on to its end.
func (t *Table) SetConfig(config Config) {
	t.config = config
	t.connectivity.config = config.Connectivity
}

// Self is our own descriptor with its present incarnation.
func (t *Table) Self() Descriptor { return t.self }

// View is the last view that was published.
func (t *Table) View() *View { return t.view }

// ViewDigest is the digest of our view that our heartbeats carry.
func (t *Table) ViewDigest() uint64 { return t.viewDigest }

// TakeChanges gives the changes since it was last called.
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

// transition stores a member in a state, and records the change if it is one.
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

// heardFractionStep is the change of the heard fraction that makes a new view.
const heardFractionStep = 0.1

// Tick applies the deadlines that have come. It is to be called several times within a stall threshold: the time
// between two calls is how a process tells that it stood still.
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

// applyDeadlines carries a member over the deadlines that have come.
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

// applyServingDeadlines is applyDeadlines for a member that is not in doubt yet.
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

// evictGone drops members that have been gone for longer than the retention or, where room is needed and none of them
// was, the one that has been gone for longest. It reports whether there is room. The names and incarnations of members
// that are gone are what fences an outdated process, so they stay while they can.
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
