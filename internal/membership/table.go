package membership

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// Change is one step of a member, or of ourselves.
type Change struct {
	ID
	Incarnation Incarnation
	From, To    State
	Reason      Reason
	ViewVersion uint64
}

// Table is what a process believes, and how it comes to. It belongs to one goroutine.
type Table struct {
	config       Config
	self         Descriptor
	members      *immutable.SortedMap[Name, Member]
	connectivity *connectivityMonitor
	version      uint64
	view         *View
	changes      []Change

	start              time.Duration
	lastTick           time.Duration // the last look, to tell whether we stood still
	lastStall          time.Duration // how long the last stand was
	settlingUntil      time.Duration // until when what we believe is not worth much
	pausedTotal        time.Duration // how long all judging has rested, in all
	pausedSince        time.Duration // since when it rests, under 0 if it does not
	incarnationRaises  int           // how often our own incarnation was raised
	fenced             bool
	viewDigest         uint64                 // of our view, ourselves in it
	viewDigestSince    time.Duration          // when that last changed
	fenceNotices       map[ID]time.Duration   // whom we have told that it is fenced, and when
	joinAttempts       map[string]joinAttempt // addresses that were tried, see Reach
	predecessorCallers []string               // who called our former life, see Called

	Stats Stats
}

// Stats is what came and what became of it, since the start.
type Stats struct {
	Transitions, RejectedFull, StaleHeartbeats, InvalidHeartbeats, OutdatedIncarnations, RefutedSuspicions, Stalls uint64
}

// NewTable makes a table with nobody but ourselves in it.
func NewTable(self Descriptor, config Config, now time.Duration) *Table {
	table := &Table{config: config, self: self, members: immutable.NewSortedMap[Name, Member](nameComparer{}), connectivity: newConnectivityMonitor(config.Connectivity, now),
		start: now, lastTick: now, pausedSince: -1, fenceNotices: map[ID]time.Duration{}, joinAttempts: map[string]joinAttempt{}}
	table.publishView(now)
	return table
}

// SetConfig takes values that were told anew; what runs by the old ones goes on to its end.
func (t *Table) SetConfig(config Config) {
	t.config = config
	t.connectivity.config = config.Connectivity
}

// Self is our own claim as it stands now.
func (t *Table) Self() Descriptor { return t.self }

// View is what is believed as of now.
func (t *Table) View() *View { return t.view }

// TakeChanges gives what has changed since it was last asked.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// publishView makes the next version.
func (t *Table) publishView(now time.Duration) {
	t.version++
	previousDigest := t.viewDigest
	t.view = &View{Version: t.version, PublishedAt: now, Self: t.self, LocalHealth: t.localHealth(now), HeardFraction: t.connectivity.heardFraction, members: t.members}
	if t.viewDigest = t.view.Digest() ^ Fingerprint(t.self.ID()); t.viewDigest != previousDigest {
		t.viewDigestSince = now
	}
}

// transition puts a member in and notes the step.
func (t *Table) transition(member Member, state State, reason Reason, now time.Duration) {
	previous, known := t.members.Get(member.Name)
	if known && previous.State == state && previous.Reason == reason && previous.BootID == member.BootID {
		t.members = t.members.Set(member.Name, member)
		return
	}
	member.State, member.Reason, member.StateSince = state, reason, now
	t.members = t.members.Set(member.Name, member)
	from := previous.State
	if !known || previous.BootID != member.BootID {
		from = StateJoining
	}
	t.Stats.Transitions++
	t.changes = append(t.changes, Change{member.ID(), member.Incarnation, from, state, reason, t.version + 1})
}

// ViewDigest is what a bulletin of ours says of our view.
func (t *Table) ViewDigest() uint64 { return t.viewDigest }

// Tick is called some times a second: what is due by now happens.
func (t *Table) Tick(now time.Duration) {
	elapsed := now - t.lastTick
	stalled := elapsed > t.config.StallThreshold
	if stalled {
		t.Stats.Stalls++
		t.lastStall, t.settlingUntil = elapsed, now+t.config.SettleTime
		if t.pausedSince < 0 {
			t.pausedTotal += elapsed
		}
	}
	t.lastTick = now
	t.connectivity.advance(now, t.presentMembers(), stalled)
	previousHealth, previousFraction := t.view.LocalHealth, t.view.HeardFraction
	health := t.localHealth(now)
	switch canJudge := health.CanDeclareGone(); {
	case !canJudge && t.pausedSince < 0:
		t.pausedSince = now
	case canJudge && t.pausedSince >= 0:
		t.pausedTotal += now - t.pausedSince
		t.pausedSince = -1
	}
	previousMembers := t.members
	t.exemptMassLoss()
	if t.pausedSince < 0 {
		for it := previousMembers.Iterator(); !it.Done(); {
			_, m, _ := it.Next()
			t.applyDeadlines(m, now)
		}
	}
	t.evictGone(now, false)
	if t.members != previousMembers || health != previousHealth || math.Abs(t.connectivity.heardFraction-previousFraction) >= 0.1 {
		t.publishView(now)
	}
}

// applyDeadlines carries a member over the moments that have come.
func (t *Table) applyDeadlines(member Member, now time.Duration) {
	if member.flapSuppressed && t.decayedPenalty(member, now) < t.config.FlapDamping.ReuseLimit {
		member.flapSuppressed = false
		if member.State == StateSuspect && !member.unreachable {
			t.reclassify(member, ReasonRecovered, now)
			return
		}
		t.members = t.members.Set(member.Name, member)
	}
	judgementNow := t.judgementClock(now)
	switch member.State {
	case StateJoining, StateWarming, StateUp:
		switch {
		case member.unreachable && judgementNow-member.unreachableSince >= t.config.SuspectAfter && now >= member.HeartbeatAt+t.heartbeatGrace()+t.config.SuspectAfter:
			t.transition(member, StateSuspect, ReasonUnreachable, now)
		case member.State == StateWarming && now >= member.warmUpUntil:
			t.transition(member, StateUp, ReasonWarmedUp, now)
		case member.State != StateJoining && judgementNow-member.lastHeardAt > t.maxMetricTTL()+t.config.SilentAfter:
			t.transition(member, StateSuspect, ReasonSilent, now)
		}
	case StateSuspect:
		if member.unreachable && judgementNow-member.unreachableSince >= t.config.SuspectAfter+t.config.GoneAfter {
			t.transition(member, StateGone, ReasonTimedOut, now)
		}
	case StateLeaving:
		if member.unreachable {
			t.transition(member, StateGone, ReasonLeft, now)
		}
	}
}

// evictGone drops those that have been gone for long or, where room is wanted, the one that has been for longest. Their names and
// numbers are what fences an old life, so they stay while there is room.
func (t *Table) evictGone(now time.Duration, needRoom bool) bool {
	var oldest *Member
	for it := t.members.Iterator(); !it.Done(); {
		_, member, _ := it.Next()
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
	for id, notifiedAt := range t.fenceNotices {
		if now-notifiedAt > t.config.GoneRetention {
			delete(t.fenceNotices, id)
		}
	}
	return t.members.Len() < t.config.MaxMembers
}
