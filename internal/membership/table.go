package membership

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// Config is what the decisions go by.
type Config struct {
	MaxMembers         int           // members kept, in whatever state; the gone are forgotten first
	GoneRetention      time.Duration // how long a gone one is remembered
	SuspectAfter       time.Duration // from the detector's word to suspect: a wrongful word is taken back within it
	GoneAfter          time.Duration // from suspect to gone
	SilentAfter        time.Duration // without a bulletin from one that serves, beyond what its facts hold for
	StallThreshold     time.Duration // between two looks: longer, and we stood still
	SettleTime         time.Duration // after waking, until what we believe is worth something again
	HeartbeatInterval  time.Duration // between two bulletins of a member, in a small fleet
	FleetHeartbeatRate float64       // bulletins a second in the whole fleet, in a large one
	MaxMetrics         int           // of a member
	FlapDamping        FlapDampingConfig
	Connectivity       ConnectivityConfig
	Seeds              []string
}

// FlapDampingConfig is how those that come and go are held back.
type FlapDampingConfig struct {
	SuppressLimit float64       // returns, aging, from which a member is no longer taken back at once
	ReuseLimit    float64       // and under which it is again
	MaxPenalty    float64       // they never count for more
	HalfLife      time.Duration // in which they count for half
}

// DefaultConfig is what holds without being told. With 100 members a death is known to all in 6 to 7 s (docs/fleet.md) and held for
// certain 5 s later; a process that stands still for 5 s is not given up.
func DefaultConfig() Config {
	return Config{MaxMembers: 4096, GoneRetention: 10 * time.Minute, SuspectAfter: time.Second, GoneAfter: 5 * time.Second, SilentAfter: 5 * time.Second,
		StallThreshold: time.Second, SettleTime: 2 * time.Second, HeartbeatInterval: time.Second, FleetHeartbeatRate: 15, MaxMetrics: 16,
		FlapDamping:  FlapDampingConfig{SuppressLimit: 3, ReuseLimit: 1, MaxPenalty: 8, HalfLife: 30 * time.Second},
		Connectivity: ConnectivityConfig{Window: 3 * time.Second, DegradedBelow: 0.6, IsolatedBelow: 0.25, AdaptAfter: time.Minute, AckTimeout: 6 * time.Second}}
}

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

// judgementClock is the time by which others are judged: it stands still while we can't judge, so no deadline of theirs runs out by our
// own fault. Danger: one that was paused, starved or cut off declares the whole fleet gone on waking.
func (t *Table) judgementClock(now time.Duration) time.Duration {
	if t.pausedSince >= 0 {
		now = t.pausedSince
	}
	return now - t.pausedTotal
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

// AliveResult is what became of a claim.
type AliveResult uint8

const (
	AliveAccepted          AliveResult = iota
	AliveOutdated                      // of an earlier life: its owner is to be told
	AliveTableFull                     // there is no room
	AliveIncarnationRaised             // our own name, claimed by another: we have taken a higher incarnation and have to say so
	AliveFenced                        // our own name, claimed by a later life: we are fenced
	AliveOwn                           // our own claim
)

// HandleAlive takes a claim that the gossip brought, of a member that the detector reaches.
func (t *Table) HandleAlive(descriptor Descriptor, now time.Duration) AliveResult {
	if descriptor.Name == t.self.Name {
		return t.resolveNameConflict(descriptor, now)
	}
	member, known := t.members.Get(descriptor.Name)
	switch {
	case !known && t.members.Len() >= t.config.MaxMembers && !t.evictGone(now, true):
		// Danger: names made up by the thousand fill the memory. Who is here stays, newcomers wait outside.
		t.Stats.RejectedFull++
		return AliveTableFull
	case known && descriptor.olderThan(member.Descriptor):
		t.Stats.OutdatedIncarnations++
		return AliveOutdated
	case !known || descriptor.BootID != member.BootID:
		if known && member.State != StateGone && member.State != StateFenced { // the old life is over, whatever it still says
			t.Stats.Transitions++
			t.changes = append(t.changes, Change{member.ID(), member.Incarnation, member.State, StateFenced, ReasonSuperseded, t.version + 1})
		}
		// What it was held back for stays with the name. Danger: one that crashes as soon as it serves is a new life each time.
		successor := Member{Descriptor: descriptor, fingerprint: Fingerprint(descriptor.ID()), flapPenalty: member.flapPenalty, flapPenaltyAt: member.flapPenaltyAt, flapSuppressed: member.flapSuppressed}
		if known && member.State != StateGone && member.State != StateLeaving {
			t.addFlapPenalty(&successor, now)
		}
		t.transition(successor, StateJoining, ReasonDiscovered, now)
	default: // the same life, perhaps with a raised incarnation, perhaps back
		member.Descriptor = descriptor
		t.markReachable(member, now)
	}
	t.publishView(now)
	return AliveAccepted
}

// resolveNameConflict decides about another that claims our name. While we are young it is most likely our predecessor, of whom some still
// speak: we go above it. Once we have been here for a while it is our successor, and we are the one that is over.
// Danger: a clock that went back between two lives would have the new one taken for the old; so the number is learnt, not timed.
func (t *Table) resolveNameConflict(rival Descriptor, now time.Duration) AliveResult {
	const maxRaises = 3 // two that start at one moment raise in turn; the lives decide before that is used up
	if rival.BootID == t.self.BootID {
		return AliveOwn
	}
	if rival.olderThan(t.self) {
		t.Stats.OutdatedIncarnations++
		return AliveOutdated
	}
	if t.fenced {
		return AliveFenced
	}
	if now-t.start <= t.config.SettleTime+t.config.GoneAfter && t.incarnationRaises < maxRaises {
		t.incarnationRaises++
		t.self.Incarnation = rival.Incarnation + 1
		t.publishView(now)
		return AliveIncarnationRaised
	}
	t.fenced = true
	t.publishView(now)
	return AliveFenced
}

// HandleFenceNotice takes another's word that a later life has our name.
func (t *Table) HandleFenceNotice(incarnation Incarnation, bootID BootID, now time.Duration) AliveResult {
	rival := t.self
	rival.Incarnation, rival.BootID = incarnation, bootID
	return t.resolveNameConflict(rival, now)
}

// markReachable takes a member that the detector reaches again.
func (t *Table) markReachable(member Member, now time.Duration) {
	if !member.unreachable && member.State != StateGone {
		t.transition(member, member.State, member.Reason, now)
		return
	}
	if member.unreachable && member.State != StateSuspect && member.State != StateGone { // within the doubt: the word was wrong, nothing happened
		t.Stats.RefutedSuspicions++
		member.unreachable = false
		t.transition(member, member.State, member.Reason, now)
		return
	}
	// Who comes back with many others, or while we ourselves were out, has not flapped: what lay between was cut.
	if !member.flapExempt {
		t.addFlapPenalty(&member, now)
	}
	member.unreachable, member.flapExempt, member.lastHeardAt = false, false, t.judgementClock(now)
	t.reclassify(member, ReasonRecovered, now)
}

// exemptMassLoss marks those that are lost at one time with more than a few others: that is a cut or a zone, not one that flaps.
func (t *Table) exemptMassLoss() {
	threshold := max(1, t.members.Len()/8)
	var unreachable []Member
	for it := t.members.Iterator(); !it.Done(); {
		if _, m, _ := it.Next(); m.unreachable && m.State != StateGone && m.State != StateLeaving {
			unreachable = append(unreachable, m)
		}
	}
	if len(unreachable) <= threshold {
		return
	}
	for _, m := range unreachable {
		if !m.flapExempt {
			m.flapExempt = true
			t.members = t.members.Set(m.Name, m)
		}
	}
}

// addFlapPenalty counts one return against a member.
func (t *Table) addFlapPenalty(member *Member, now time.Duration) {
	member.flapPenalty = min(t.config.FlapDamping.MaxPenalty, t.decayedPenalty(*member, now)+1)
	member.flapPenaltyAt = now
	if member.flapPenalty >= t.config.FlapDamping.SuppressLimit {
		member.flapSuppressed = true
	}
}

// decayedPenalty is what the returns still count for.
func (t *Table) decayedPenalty(member Member, now time.Duration) float64 {
	return member.flapPenalty * math.Exp2(-float64(now-member.flapPenaltyAt)/float64(t.config.FlapDamping.HalfLife))
}

// reclassify puts a member that is reached where it belongs by what it has said.
func (t *Table) reclassify(member Member, reason Reason, now time.Duration) {
	switch {
	case member.State == StateLeaving || member.Reason == ReasonDraining:
		t.transition(member, StateLeaving, ReasonDraining, now)
	case member.flapSuppressed:
		t.transition(member, StateSuspect, ReasonFlapping, now)
	case !member.ready:
		t.transition(member, StateJoining, reason, now)
	case now < member.warmUpUntil:
		t.transition(member, StateWarming, reason, now)
	default:
		t.transition(member, StateUp, reason, now)
	}
}

// HandleUnreachable takes the detector's word that it does not reach a life any more, or that this one has left.
func (t *Table) HandleUnreachable(id ID, left bool, now time.Duration) {
	member, known := t.members.Get(id.Name)
	if !known || member.BootID != id.BootID || member.State == StateGone || member.State == StateFenced {
		return
	}
	switch {
	case left || member.State == StateLeaving:
		member.unreachable = true
		t.transition(member, StateGone, ReasonLeft, now)
	case !member.unreachable:
		member.unreachable, member.unreachableSince, member.unreachableReportedAt, member.flapExempt = true, t.judgementClock(now), now, !t.healthy(now)
		t.members = t.members.Set(member.Name, member)
	default:
		return
	}
	t.publishView(now)
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

// ViewDigest is what a bulletin of ours says of our view.
func (t *Table) ViewDigest() uint64 { return t.viewDigest }

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

// ObserveSender takes the sender of any message; Answered an answer to a call of ours.
func (t *Table) ObserveSender(sender string)  { t.connectivity.observeSender(sender) }
func (t *Table) ObserveAck(now time.Duration) { t.connectivity.observeAck(now) }

// HearsNobody tells whether our word about others is worth nothing, and is to stay with us.
func (t *Table) HearsNobody() bool { return t.connectivity.hearsNobody() }

func (t *Table) localHealth(now time.Duration) LocalHealth {
	switch {
	case t.fenced:
		return LocalFenced
	case now < t.settlingUntil:
		return LocalResumed
	}
	return t.connectivity.localHealth(now, t.presentMembers())
}

// presentMembers is how many there should be to hear.
func (t *Table) presentMembers() (count int) {
	for it := t.members.Iterator(); !it.Done(); {
		if _, m, _ := it.Next(); m.State != StateGone && m.State != StateFenced {
			count++
		}
	}
	return count
}

func (t *Table) healthy(now time.Duration) bool {
	health := t.localHealth(now)
	return health == LocalHealthy || health == LocalLearning
}

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

// heartbeatGrace is how long whoever has just spoken is waited for: until his next word is due, twice over. Who is really gone has been silent for about as
// long when the detector says so, so it costs no time then.
func (t *Table) heartbeatGrace() time.Duration { return min(2*t.HeartbeatInterval(), 3*time.Second) }

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
