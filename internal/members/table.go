package members

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// Told is what the decisions go by.
type Told struct {
	Most       int           // members kept, in whatever state; the gone are forgotten first
	GoneFor    time.Duration // how long a gone one is remembered
	Doubt      time.Duration // from the detector's word to suspect: a wrongful word is taken back within it
	GoneAfter  time.Duration // from suspect to gone
	MuteAfter  time.Duration // without a bulletin from one that serves, beyond what its facts hold for
	Stall      time.Duration // between two looks: longer, and we stood still
	Settle     time.Duration // after waking, until what we believe is worth something again
	FactsEvery time.Duration // between two bulletins of a member, in a small fleet
	FactsRate  float64       // bulletins a second in the whole fleet, in a large one
	Facts      int           // of a member
	Damp       Damp
	Ear        Ear
	Seeds      []string
}

// Damp is how those that come and go are held back.
type Damp struct {
	At    float64       // returns, aging, from which a member is no longer taken back at once
	Under float64       // and under which it is again
	Most  float64       // they never count for more
	Half  time.Duration // in which they count for half
}

// Usual is what holds without being told. With 100 members a death is known to all in 6 to 7 s (docs/fleet.md) and held for
// certain 5 s later; a process that stands still for 5 s is not given up.
func Usual() Told {
	return Told{Most: 4096, GoneFor: 10 * time.Minute, Doubt: time.Second, GoneAfter: 5 * time.Second, MuteAfter: 5 * time.Second,
		Stall: time.Second, Settle: 2 * time.Second, FactsEvery: time.Second, FactsRate: 15, Facts: 16,
		Damp: Damp{At: 3, Under: 1, Most: 8, Half: 30 * time.Second},
		Ear:  Ear{Window: 3 * time.Second, ThinAt: 0.6, CutAt: 0.25, Adapt: time.Minute, Answers: 6 * time.Second}}
}

// Change is one step of a member, or of ourselves.
type Change struct {
	ID
	Incarnation Incarnation
	Was, Is     State
	Why         Reason
	Version     uint64
}

// Table is what a process believes, and how it comes to. It belongs to one goroutine.
type Table struct {
	told    Told
	self    Claim
	members *immutable.SortedMap[Name, Member]
	ears    *Ears
	version uint64
	view    *View
	changes []Change

	began   time.Duration
	looked  time.Duration // the last look, to tell whether we stood still
	slept   time.Duration // how long the last stand was
	settles time.Duration // until when what we believe is not worth much
	held    time.Duration // how long all judging has rested, in all
	rests   time.Duration // since when it rests, under 0 if it does not
	raises  int           // how often our own incarnation was raised
	ousted  bool
	digest  uint64               // of our view, ourselves in it
	turned  time.Duration        // when that last changed
	tolds   map[ID]time.Duration // whom we have told that it is fenced, and when
	tries   map[string]try       // addresses that were tried, see Reach
	callers []string             // who called our former life, see Called

	Counts Counts
}

// Counts is what came and what became of it, since the start.
type Counts struct {
	Changes, Refused, Stale, Oversized, Fenced, Refuted, Stood uint64
}

// New makes a table with nobody but ourselves in it.
func New(self Claim, told Told, now time.Duration) *Table {
	t := &Table{told: told, self: self, members: immutable.NewSortedMap[Name, Member](byName{}), ears: NewEars(told.Ear, now),
		began: now, looked: now, rests: -1, tolds: map[ID]time.Duration{}, tries: map[string]try{}}
	t.publish(now)
	return t
}

// Retell takes values that were told anew; what runs by the old ones goes on to its end.
func (t *Table) Retell(told Told) {
	t.told = told
	t.ears.told = told.Ear
}

// Self is our own claim as it stands now.
func (t *Table) Self() Claim { return t.self }

// View is what is believed as of now.
func (t *Table) View() *View { return t.view }

// Changes gives what has changed since it was last asked.
func (t *Table) Changes() []Change {
	all := t.changes
	t.changes = nil
	return all
}

// publish makes the next version.
func (t *Table) publish(now time.Duration) {
	t.version++
	was := t.digest
	t.view = &View{Version: t.version, At: now, Self: t.self, Standing: t.standing(now), Reach: t.ears.share, members: t.members}
	if t.digest = t.view.Digest() ^ Mark(t.self.ID()); t.digest != was {
		t.turned = now
	}
}

// clock is the time by which others are judged: it stands still while we can't judge, so no deadline of theirs runs out by our
// own fault. Danger: one that was paused, starved or cut off declares the whole fleet gone on waking.
func (t *Table) clock(now time.Duration) time.Duration {
	if t.rests >= 0 {
		now = t.rests
	}
	return now - t.held
}

// set puts a member in and notes the step.
func (t *Table) set(m Member, state State, why Reason, now time.Duration) {
	was, known := t.members.Get(m.Name)
	if known && was.State == state && was.Why == why && was.Life == m.Life {
		t.members = t.members.Set(m.Name, m)
		return
	}
	m.State, m.Why, m.Since = state, why, now
	t.members = t.members.Set(m.Name, m)
	from := was.State
	if !known || was.Life != m.Life {
		from = Joining
	}
	t.Counts.Changes++
	t.changes = append(t.changes, Change{m.ID(), m.Incarnation, from, state, why, t.version + 1})
}

// Verdict is what became of a claim.
type Verdict uint8

const (
	Taken  Verdict = iota
	Old            // of an earlier life: its owner is to be told
	Full           // there is no room
	Raised         // our own name, claimed by another: we have taken a higher incarnation and have to say so
	Lost           // our own name, claimed by a later life: we are fenced
	Ours           // our own claim
)

// Claimed takes a claim that the gossip brought, of a member that the detector reaches.
func (t *Table) Claimed(c Claim, now time.Duration) Verdict {
	if c.Name == t.self.Name {
		return t.rival(c, now)
	}
	m, known := t.members.Get(c.Name)
	switch {
	case !known && t.members.Len() >= t.told.Most && !t.forget(now, true):
		// Danger: names made up by the thousand fill the memory. Who is here stays, newcomers wait outside.
		t.Counts.Refused++
		return Full
	case known && c.before(m.Claim):
		t.Counts.Fenced++
		return Old
	case !known || c.Life != m.Life:
		if known && m.State != Gone && m.State != Fenced { // the old life is over, whatever it still says
			t.Counts.Changes++
			t.changes = append(t.changes, Change{m.ID(), m.Incarnation, m.State, Fenced, Superseded, t.version + 1})
		}
		// What it was held back for stays with the name. Danger: one that crashes as soon as it serves is a new life each time.
		next := Member{Claim: c, mark: Mark(c.ID()), penalty: m.penalty, penalAt: m.penalAt, damped: m.damped}
		if known && m.State != Gone && m.State != Leaving {
			t.penalize(&next, now)
		}
		t.set(next, Joining, Claimed, now)
	default: // the same life, perhaps with a raised incarnation, perhaps back
		m.Claim = c
		t.back(m, now)
	}
	t.publish(now)
	return Taken
}

// rival decides about another that claims our name. While we are young it is most likely our predecessor, of whom some still
// speak: we go above it. Once we have been here for a while it is our successor, and we are the one that is over.
// Danger: a clock that went back between two lives would have the new one taken for the old; so the number is learnt, not timed.
func (t *Table) rival(c Claim, now time.Duration) Verdict {
	const mostRaises = 3 // two that start at one moment raise in turn; the lives decide before that is used up
	if c.Life == t.self.Life {
		return Ours
	}
	if c.before(t.self) {
		t.Counts.Fenced++
		return Old
	}
	if t.ousted {
		return Lost
	}
	if now-t.began <= t.told.Settle+t.told.GoneAfter && t.raises < mostRaises {
		t.raises++
		t.self.Incarnation = c.Incarnation + 1
		t.publish(now)
		return Raised
	}
	t.ousted = true
	t.publish(now)
	return Lost
}

// Fence takes another's word that a later life has our name.
func (t *Table) Fence(by Incarnation, life Life, now time.Duration) Verdict {
	c := t.self
	c.Incarnation, c.Life = by, life
	return t.rival(c, now)
}

// back takes a member that the detector reaches again.
func (t *Table) back(m Member, now time.Duration) {
	if !m.lost && m.State != Gone {
		t.set(m, m.State, m.Why, now)
		return
	}
	if m.lost && m.State != Suspect && m.State != Gone { // within the doubt: the word was wrong, nothing happened
		t.Counts.Refuted++
		m.lost = false
		t.set(m, m.State, m.Why, now)
		return
	}
	// Who comes back with many others, or while we ourselves were out, has not flapped: what lay between was cut.
	if !m.unsound {
		t.penalize(&m, now)
	}
	m.lost, m.unsound, m.heard = false, false, t.clock(now)
	t.place(m, Returned, now)
}

// crowd marks those that are lost at one time with more than a few others: that is a cut or a zone, not one that flaps.
func (t *Table) crowd() {
	few := max(1, t.members.Len()/8)
	var lost []Member
	for it := t.members.Iterator(); !it.Done(); {
		if _, m, _ := it.Next(); m.lost && m.State != Gone && m.State != Leaving {
			lost = append(lost, m)
		}
	}
	if len(lost) <= few {
		return
	}
	for _, m := range lost {
		if !m.unsound {
			m.unsound = true
			t.members = t.members.Set(m.Name, m)
		}
	}
}

// penalize counts one return against a member.
func (t *Table) penalize(m *Member, now time.Duration) {
	m.penalty = min(t.told.Damp.Most, t.faded(*m, now)+1)
	m.penalAt = now
	if m.penalty >= t.told.Damp.At {
		m.damped = true
	}
}

// faded is what the returns still count for.
func (t *Table) faded(m Member, now time.Duration) float64 {
	return m.penalty * math.Exp2(-float64(now-m.penalAt)/float64(t.told.Damp.Half))
}

// place puts a member that is reached where it belongs by what it has said.
func (t *Table) place(m Member, why Reason, now time.Duration) {
	switch {
	case m.State == Leaving || m.Why == Said:
		t.set(m, Leaving, Said, now)
	case m.damped:
		t.set(m, Suspect, Flapping, now)
	case !m.ready:
		t.set(m, Joining, why, now)
	case now < m.warmAt:
		t.set(m, Warming, why, now)
	default:
		t.set(m, Up, why, now)
	}
}

// Lost takes the detector's word that it does not reach a life any more, or that this one has left.
func (t *Table) Lost(id ID, left bool, now time.Duration) {
	m, known := t.members.Get(id.Name)
	if !known || m.Life != id.Life || m.State == Gone || m.State == Fenced {
		return
	}
	switch {
	case left || m.State == Leaving:
		m.lost = true
		t.set(m, Gone, Left, now)
	case !m.lost:
		m.lost, m.lostAt, m.lostBy, m.unsound = true, t.clock(now), now, !t.sound(now)
		t.members = t.members.Set(m.Name, m)
	default:
		return
	}
	t.publish(now)
}

// Told takes a bulletin that was written age ago, and tells whether it says anything new.
func (t *Table) Told(b Bulletin, age time.Duration, now time.Duration) bool {
	m, known := t.members.Get(b.Name)
	if !known || m.Life != b.Life || b.Seq <= m.Seq {
		t.Counts.Stale++
		return false
	}
	// Danger: facts by the hundred, or that hold for ever. What no member may say is no bulletin.
	if len(b.Facts) > t.told.Facts || age < 0 {
		t.Counts.Oversized++
		return false
	}
	if now < t.settles { // it may have waited for us to wake
		age += t.slept
	}
	m.heard = t.clock(now)
	m.Seq, m.Spoke, m.ready, m.fit, m.digest = b.Seq, now-age, b.Ready, b.ReadyFor, b.Digest
	if b.Ready && m.State != Up {
		m.warmAt = now - age - b.ReadyFor + m.Warm
	}
	longest := t.longest()
	m.Facts = nil
	for _, f := range b.Facts {
		if !math.IsNaN(f.Value) && !math.IsInf(f.Value, 0) { // what can't be compared is not a fact
			m.Facts = append(m.Facts, Fact{f.Key, f.Value, min(max(0, f.Holds), longest), now - age})
		}
	}
	switch {
	case m.State == Gone || m.State == Fenced: // hearsay of one that is given up: its claim has to come first
		t.members = t.members.Set(m.Name, m)
	case b.Leaving:
		t.set(m, Leaving, Said, now)
	// The detector's word is of a moment. Danger: one that missed how a doubt was taken back gives up by itself whom all others reach, and
	// hears no more of it for many seconds. What a life wrote well after the word shows that it lives; it has not flapped by that.
	case m.lost && now-age > m.lostBy+t.told.Doubt:
		m.unsound = true
		t.back(m, now)
	case m.State == Suspect && m.Why == Mute:
		t.place(m, Returned, now)
	case m.State == Joining && m.ready && !m.lost:
		t.place(m, Served, now)
	default:
		t.members = t.members.Set(m.Name, m)
	}
	t.publish(now)
	return true
}

// Digest is what a bulletin of ours says of our view.
func (t *Table) Digest() uint64 { return t.digest }

// Pace is how often each member publishes: a large fleet's bulletins together stay under the told rate.
func (t *Table) Pace() time.Duration { return t.pace(t.members.Len() + 1) }

func (t *Table) pace(fleet int) time.Duration {
	return max(t.told.FactsEvery, time.Duration(float64(fleet)/t.told.FactsRate*float64(time.Second)))
}

// Holds is for how long a fact is believed that is published again at the pace: two bulletins may be lost on the way.
func (t *Table) Holds() time.Duration { return 3 * t.Pace() }

// longest is for how long any fact is believed, whatever its owner says. Danger: one that says once that it is idle, for ever.
func (t *Table) longest() time.Duration { return 4 * t.pace(max(t.members.Len()+1, 10)) }

// Heard takes the sender of any message; Answered an answer to a call of ours.
func (t *Table) Heard(sender string)        { t.ears.Heard(sender) }
func (t *Table) Answered(now time.Duration) { t.ears.Answered(now) }

// Deaf tells whether our word about others is worth nothing, and is to stay with us.
func (t *Table) Deaf() bool { return t.ears.Deaf() }

func (t *Table) standing(now time.Duration) Standing {
	switch {
	case t.ousted:
		return Ousted
	case now < t.settles:
		return Woken
	}
	return t.ears.standing(now, t.others())
}

// others is how many there should be to hear.
func (t *Table) others() (n int) {
	for it := t.members.Iterator(); !it.Done(); {
		if _, m, _ := it.Next(); m.State != Gone && m.State != Fenced {
			n++
		}
	}
	return n
}

func (t *Table) sound(now time.Duration) bool {
	s := t.standing(now)
	return s == Sound || s == Young
}

// Look is called some times a second: what is due by now happens.
func (t *Table) Look(now time.Duration) {
	gap := now - t.looked
	stood := gap > t.told.Stall
	if stood {
		t.Counts.Stood++
		t.slept, t.settles = gap, now+t.told.Settle
		if t.rests < 0 {
			t.held += gap
		}
	}
	t.looked = now
	t.ears.turn(now, t.others(), stood)
	was, reach := t.view.Standing, t.view.Reach
	standing := t.standing(now)
	switch judges := standing.Judges(); {
	case !judges && t.rests < 0:
		t.rests = now
	case judges && t.rests >= 0:
		t.held += now - t.rests
		t.rests = -1
	}
	before := t.members
	t.crowd()
	if t.rests < 0 {
		for it := before.Iterator(); !it.Done(); {
			_, m, _ := it.Next()
			t.due(m, now)
		}
	}
	t.forget(now, false)
	if t.members != before || standing != was || math.Abs(t.ears.share-reach) >= 0.1 {
		t.publish(now)
	}
}

// spoke is how long whoever has just spoken is waited for: until his next word is due, twice over. Who is really gone has been silent for about as
// long when the detector says so, so it costs no time then.
func (t *Table) spoke() time.Duration { return min(2*t.Pace(), 3*time.Second) }

// due carries a member over the moments that have come.
func (t *Table) due(m Member, now time.Duration) {
	if m.damped && t.faded(m, now) < t.told.Damp.Under {
		m.damped = false
		if m.State == Suspect && !m.lost {
			t.place(m, Returned, now)
			return
		}
		t.members = t.members.Set(m.Name, m)
	}
	judged := t.clock(now)
	switch m.State {
	case Joining, Warming, Up:
		switch {
		case m.lost && judged-m.lostAt >= t.told.Doubt && now >= m.Spoke+t.spoke()+t.told.Doubt:
			t.set(m, Suspect, Unreached, now)
		case m.State == Warming && now >= m.warmAt:
			t.set(m, Up, Warmed, now)
		case m.State != Joining && judged-m.heard > t.longest()+t.told.MuteAfter:
			t.set(m, Suspect, Mute, now)
		}
	case Suspect:
		if m.lost && judged-m.lostAt >= t.told.Doubt+t.told.GoneAfter {
			t.set(m, Gone, GivenUp, now)
		}
	case Leaving:
		if m.lost {
			t.set(m, Gone, Left, now)
		}
	}
}

// forget drops those that have been gone for long or, where room is wanted, the one that has been for longest. Their names and
// numbers are what fences an old life, so they stay while there is room.
func (t *Table) forget(now time.Duration, room bool) bool {
	var oldest *Member
	for it := t.members.Iterator(); !it.Done(); {
		_, m, _ := it.Next()
		if m.State != Gone {
			continue
		}
		if now-m.Since > t.told.GoneFor {
			t.members = t.members.Delete(m.Name)
			room = false
			continue
		}
		if oldest == nil || m.Since < oldest.Since {
			oldest = &m
		}
	}
	if room && oldest != nil {
		t.members = t.members.Delete(oldest.Name)
	}
	for id, at := range t.tolds {
		if now-at > t.told.GoneFor {
			delete(t.tolds, id)
		}
	}
	return t.members.Len() < t.told.Most
}
