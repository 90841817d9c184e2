// Package spread decides which of many members gets the next op, where each process that decides sees a small share of the ops, and
// what it knows is thin and late. It is pure: time, chance and what is believed of the members are arguments. docs/spread.md says
// which ways were weighed and by which measurement.
package spread

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Name is what a member is called.
type Name string

// Member is one that ops may be given to, as the fleet's view has it.
type Member struct {
	Name     Name
	Zone     string
	Capacity float64       // told, in cores
	Cold     time.Duration // how long it still has to its full pace
	Warm     time.Duration // how long that takes in all
	Doubted  bool          // here by some, not by all: it gets what nobody else can take
}

// Outcome is what became of an op that was given to a member.
type Outcome uint8

const (
	Served  Outcome = iota
	Refused         // nacked: it never ran
	Failed          // it may have run
	Lost            // no answer, or the connection ended
)

// Told is what the decisions go by.
type Told struct {
	Way      Way           // how one is picked; Informed unless told
	Zone     string        // our own; empty: zones don't matter
	Choices  int           // how many members are weighed against each other for one op
	Fades    time.Duration // in which what is known of a member's load is worth half: others go by the same word. 0: the time that an op takes
	Believed time.Duration // how long it is worth anything
	Near     float64       // share of a zone's capacity in use under which everything stays in it
	Trickle  float64       // of its usual share that a bad member keeps, to find out when it is well
	Out      float64       // most of the members that our own judgement may hold to be bad
	Memory   time.Duration // in which what a member did counts for half
	Retry    float64       // second tries for each first one
	Burst    float64       // of them that may be saved up
}

// Usual is what holds without being told; docs/spread.md has the measurements behind each.
func Usual() Told {
	return Told{Choices: 3, Believed: 5 * time.Second, Near: 0.7, Trickle: 0.02, Out: 0.3, Memory: 5 * time.Second,
		Retry: 0.1, Burst: 10}
}

// member is what a chooser keeps of one.
type member struct {
	Member
	set     time.Duration // when Cold was told
	open    int           // of our own ops there
	load    float64       // ops in hand a core, as it last said
	at      time.Duration // when that was so
	known   bool
	sent    float64 // of ours since then, a core
	good    float64 // what became of ours, fading with Memory: served, and not
	bad     float64
	row     int           // failures in a row
	rests   time.Duration // until when a bad one gets nothing at all
	well    time.Duration // since when one that was bad serves again, 0 if it never was
	ill     bool          // held to be bad, as last weighed
	took    float64       // s that its served ones took, on average
	touched time.Duration
	weight  float64 // its share, all told
	place   int
	gone    bool
	credit  float64 // ops that a cold one may be given by us; see allowed
	counted float64 // picks that are in it
	phased  bool    // it has begun
}

// Chooser gives ops to members. It belongs to one goroutine.
type Chooser struct {
	told    Told
	all     []*member
	byName  map[Name]int
	sums    []float64 // of the weights, running
	weighed time.Duration
	stale   bool
	mean    float64 // load of those that are known, a core
	zones   map[string]*zone
	tries   float64 // second tries that are left
	fades   time.Duration
	usual   float64 // s that a served op takes, over all members
	bad     int     // members that look bad
	turn    int     // of RoundRobin
	picks   float64 // ops that were to be given to somebody
	Panics  uint64  // times that most looked bad, and nobody was held to be

	fresh  [pool]*member // who was last asked and has answered, the next to be overwritten at nextIn
	nextIn int
}

// pool is how many fresh words are weighed for one op. Sixteen is what the Prequal paper found to be enough; more would be older.
const pool = 16

// zone is what is believed of one zone as a whole.
type zone struct {
	capacity, load, room float64
	known                int
}

// New makes a chooser that knows nobody.
func New(told Told) *Chooser {
	return &Chooser{told: told, byName: map[Name]int{}, zones: map[string]*zone{}, tries: told.Burst, stale: true,
		fades: cmp.Or(told.Fades, firstFades)}
}

// Set takes the members as they are now; what was known of those that stay is kept. Places are found by At and hold until the next Set.
func (c *Chooser) Set(now time.Duration, members []Member) {
	var all []*member
	byName := make(map[Name]int, len(members))
	for _, m := range members {
		var x *member
		if i, known := c.byName[m.Name]; known {
			x = c.all[i]
		} else {
			x = &member{touched: now, counted: c.picks}
		}
		if m.Cold > x.Cold { // it has started anew
			x.credit, x.phased = 0, false
		}
		x.Member, x.set = m, now
		x.place = len(all)
		byName[m.Name] = x.place
		all = append(all, x)
	}
	for name, i := range c.byName {
		if _, stays := byName[name]; !stays {
			c.all[i].gone = true
		}
	}
	c.all, c.byName, c.stale = all, byName, true
	c.sums = slices.Grow(c.sums[:0], len(all))[:len(all)]
	c.weigh(now)
}

// Len is how many members there are; At gives the name at a place, Place the place of a name.
func (c *Chooser) Len() int                 { return len(c.all) }
func (c *Chooser) At(i int) Name            { return c.all[i].Name }
func (c *Chooser) Place(n Name) (int, bool) { i, known := c.byName[n]; return i, known }

// Idle is what a member says that has nothing in hand: under 0 by how long it has waited, so that of many idle ones the one that waits longest
// goes first; -1 at the most, so that it is never worth more than an op.
func Idle(waited time.Duration) float64 { return -float64(waited) / float64(waited+time.Second) }

// Told takes a member's own word on its load, ops in hand or Idle, that was so age ago. The effect on the next choices is bounded by how
// old it is, and fades, as all that heard it go by it.
func (c *Chooser) Told(now time.Duration, i int, load float64, age time.Duration) {
	m := c.all[i]
	at := now - age
	// Danger: a member that says nonsense, always idle or older than before. What is not a load says nothing; the newest counts.
	if math.IsNaN(load) || load < -1 || load > 1e6 || age < 0 || age > c.told.Believed || m.known && at <= m.at {
		return
	}
	m.load, m.at, m.known, m.sent = load/m.Capacity, at, true, 0
	c.stale = true
}

// Asked takes what a member says that was asked: beside Told, it is weighed against the next ops while it is fresh.
func (c *Chooser) Asked(now time.Duration, i int, load float64, age time.Duration) {
	c.Told(now, i, load, age)
	m := c.all[i]
	for _, f := range c.fresh {
		if f == m {
			return
		}
	}
	c.fresh[c.nextIn] = m
	c.nextIn = (c.nextIn + 1) % pool
}

// Sent notes that an op was given to a member.
func (c *Chooser) Sent(now time.Duration, i int) {
	m := c.all[i]
	m.open++
	m.sent += 1 / m.Capacity
	if m.cold(now) {
		m.credit--
	}
	// A word is used up by one op. Danger: who has little to do asks little, and would give all of it to the one it heard last.
	for k, f := range c.fresh {
		if f == m {
			c.fresh[k] = nil
		}
	}
	c.tries = min(c.told.Burst, c.tries+c.told.Retry)
}

// Ended notes what became of it, by name, as places may have changed meanwhile.
func (c *Chooser) Ended(now time.Duration, n Name, what Outcome, took time.Duration) {
	i, known := c.byName[n]
	if !known {
		return
	}
	m := c.all[i]
	m.open = max(0, m.open-1)
	m.fade(now, c.told.Memory)
	switch what {
	case Served:
		m.good++
		if m.row >= inARow {
			m.well, m.bad = now, 0
		}
		m.row = 0
		// How slow it is goes by a mean over some ops, so that one long op does not turn the load away.
		const share = 0.1
		// Danger: the first op of a process that has just started takes long, and all deciders that gave it one leave it idle for seconds. Whoever is new
		// is taken to be as quick as the others, and one op counts for a few usual ones at the most.
		s := took.Seconds()
		if c.usual > 0 {
			s = min(s, mostOnce*c.usual)
		}
		if m.took == 0 {
			m.took = s
			if c.usual > 0 {
				m.took = c.usual
			}
		}
		m.took += share * (s - m.took)
	case Failed, Lost:
		m.bad++
		m.row++
		// Danger: one that fails at once is free at once, and would be tried again by everybody all the time. It rests twice as long
		// each time, up to half a minute: hundreds of deciders that each try it once in that are a few tries a second.
		if m.row >= inARow {
			m.rests = now + min(time.Second<<min(m.row-inARow, 5), 30*time.Second)
		}
	case Refused: // it said no as it has too much: that is load, not illness. What it makes of it is bounded.
		m.load, m.at, m.known, m.sent = min(max(2*c.mean, c.estimate(now, m))+1, 4*c.mean+4), now, true, 0
	}
	c.stale = true
}

// Left notes that nobody waits any more for an op that was given to a member; that says nothing of it.
func (c *Chooser) Left(n Name) {
	if i, known := c.byName[n]; known {
		c.all[i].open = max(0, c.all[i].open-1)
	}
}

func (m *member) fade(now time.Duration, half time.Duration) {
	left := math.Exp2(-float64(now-m.touched) / float64(half))
	m.good, m.bad, m.touched = m.good*left, m.bad*left, now
}

// Second asks whether a second try is within the budget, and takes it off. Danger: when all are full, each op that is tried twice
// makes them fuller, and layers that each try again multiply each other; so an op that is a repeat already gets none.
func (c *Chooser) Second(repeat bool) bool {
	if repeat || c.tries < 1 {
		return false
	}
	c.tries--
	return true
}

// estimate is the load of a member as it is likely to be by now: what it said, drawn towards the mean by the time that has gone, as
// all others choose by the like; and what we ourselves have sent since.
func (c *Chooser) estimate(now time.Duration, m *member) float64 {
	if !m.known || now-m.at > c.told.Believed {
		return c.mean + float64(m.open)/m.Capacity
	}
	left := math.Exp2(-float64(now-m.at) / float64(c.fades))
	load := m.load
	// Danger: one that says nonsense, always idle. Own evidence goes before hearsay: where our ops take long, it is not idle.
	if slow := c.slowness(now, m); load < c.mean && slow > slowAt {
		load = c.mean + (slow-1)*max(c.mean, 1)
	}
	return c.mean + (load-c.mean)*left + m.sent
}

// A load moves as fast as ops come and go: a word is worth half after the time that one takes. Before any is known, a tenth of a second; never less
// than a round trip, nor longer than a second, in which hundreds that go by one word have long made it wrong.
const firstFades, leastFades, mostFades = 100 * time.Millisecond, 10 * time.Millisecond, time.Second

// rests is how long weights hold, unless members change: what they go by moves slower.
const rests = 100 * time.Millisecond

// weigh works out the members' shares.
func (c *Chooser) weigh(now time.Duration) {
	c.weighed, c.stale = now, false
	// The mean load, and the zones', by those that are known.
	clear(c.zones)
	sum, n, took, tooks := 0.0, 0.0, 0.0, 0.0
	for _, m := range c.all {
		z := c.zones[m.Zone]
		if z == nil {
			z = &zone{}
			c.zones[m.Zone] = z
		}
		z.capacity += m.Capacity
		if m.known && now-m.at <= c.told.Believed {
			sum += m.load * m.Capacity
			n += m.Capacity
			z.load += m.load * m.Capacity
			z.known++
		}
		if m.took > 0 {
			took += m.took
			tooks++
		}
	}
	c.mean = 0
	if n > 0 {
		c.mean = sum / n
	}
	usual := 0.0
	if tooks > 0 {
		usual = took / tooks
	}
	c.usual = usual
	if c.told.Fades == 0 && usual > 0 {
		// Where cores stand idle a member's load changes less often than an op takes, by how seldom it gets one.
		thin := min(25, max(1, 0.5/max(c.mean, 0.02)))
		c.fades = min(max(time.Duration(thin*usual*float64(time.Second)), leastFades), mostFades)
	}
	// How many look bad. When most do, it is our own judgement that is wrong, or what all of them depend on: then nobody is held to be.
	c.bad = 0
	for _, m := range c.all {
		if c.looksBad(now, m) {
			c.bad++
		}
	}
	held := true
	if float64(c.bad) > c.told.Out*float64(len(c.all)) {
		held = false
		c.Panics++
	}
	near := c.nearShare()
	total := 0.0
	for i, m := range c.all {
		w := m.Capacity
		if m.cold(now) {
			left := max(0, m.Cold-(now-m.set))
			// From a tenth on, straight up: a process that gets nothing is never warm.
			w *= 0.1 + 0.9*(1-float64(left)/float64(m.Warm))
		}
		if m.well > 0 && now-m.well < c.told.Memory { // it is not flooded when it is well
			w *= 0.1 + 0.9*float64(now-m.well)/float64(c.told.Memory)
		}
		if m.ill = held && c.looksBad(now, m); held {
			switch {
			case m.ill && now < m.rests:
				w = 0
			case m.ill:
				w *= c.told.Trickle
			case c.slowness(now, m) > slowAt: // a slow one loses in proportion
				w *= max(c.told.Trickle, 1/c.slowness(now, m))
			}
		}
		if m.Doubted {
			w *= c.told.Trickle
		}
		w *= near(m.Zone)
		m.weight = w
		total += w
		c.sums[i] = total
	}
}

// cold tells whether a member is not at its full pace yet.
func (m *member) cold(now time.Duration) bool { return m.Warm > 0 && m.Cold > now-m.set }

// ramp is how much of its drawn share a cold member gets: the sum over all senders then stays under what it bears, where shares are uneven too.
const ramp = 0.75

// allowed tells whether a cold member may be given an op now. Danger: it has little to do, so of a few that are drawn it is the least loaded one each
// time, for every process that decides, and gets several times what it was drawn for from all of them together. Each gives it no more than its
// part of its own ops; that is its part of the fleet's, however many others send and whether they are known or not. Each begins somewhere
// between two ops: else hundreds would give it their first one together.
func (c *Chooser) allowed(now time.Duration, m *member, chance func() float64) bool {
	if !m.cold(now) {
		return true
	}
	if !m.phased {
		m.phased, m.credit, m.counted = true, -chance(), c.picks
	}
	if total := c.sums[len(c.sums)-1]; total > 0 { // else all of them rest, and nobody has a share
		m.credit = min(1, m.credit+(c.picks-m.counted)*ramp*m.weight/total)
	}
	m.counted = c.picks
	return m.credit >= 0
}

// mostOnce is how many usual ops one that took long counts for: with it alone a member is not slow, with two it is.
const mostOnce = 5

// slowAt is from where on a member is slow against the others: half as slow again may be chance.
const slowAt = 1.5

// slowness is how much longer our ops take at a member than usual. It fades while none comes back from there. Danger: one that is
// held to be slow gets nothing, and nothing shows that it is well.
func (c *Chooser) slowness(now time.Duration, m *member) float64 {
	if c.usual <= 0 || m.took <= 0 {
		return 1
	}
	return 1 + (m.took/c.usual-1)*math.Exp2(-float64(now-m.touched)/float64(c.told.Memory/4))
}

// inARow is how many failures in a row make a member look bad, without one served between.
const inARow = 2

// looksBad tells whether a member fails more than it serves, by more than a few ops, or in a row.
func (c *Chooser) looksBad(now time.Duration, m *member) bool {
	if m.row >= inARow {
		return true
	}
	left := math.Exp2(-float64(now-m.touched) / float64(c.told.Memory))
	const few = 1.5 // ops: two failures in a row of one that serves little
	return m.bad*left >= few && m.bad > m.good
}

// nearShare gives the weight of a zone against the others: all stays in our own while it has room, and what does not fit goes to the
// others by the room that they have, without a step between.
func (c *Chooser) nearShare() func(string) float64 {
	own := c.zones[c.told.Zone]
	if c.told.Zone == "" || own == nil || len(c.zones) == 1 {
		return func(string) float64 { return 1 }
	}
	use := func(z *zone) float64 { // ops in hand a core, 1 for all cores at work
		if z.known == 0 {
			return c.mean
		}
		return z.load / z.capacity
	}
	room := 0.0
	for name, z := range c.zones {
		z.room = max(0.02, 1.2-use(z)) * z.capacity // a full zone still takes a little: loads move
		if name != c.told.Zone {
			room += z.room
		}
	}
	// Nothing leaves under Near; at 1.7, where as many wait as there are cores beside those at work, as much as the others have room for
	// beside ours. A steeper way would swing: what leaves shows in the loads a while later.
	leaves := min(1, max(0, (use(own)-c.told.Near)/(1.7-c.told.Near))) * room / (room + own.room)
	return func(name string) float64 {
		if name == c.told.Zone {
			return (1 - leaves) / own.capacity
		}
		z := c.zones[name]
		return max(leaves, 0.001) * z.room / room / z.capacity // a thousandth keeps the others known
	}
}

// Pick chooses the member for one op: a few are drawn by their shares, and the least loaded of them gets it. not tells places that are
// out of the question. It gives false where nobody is left. It does not allocate.
func (c *Chooser) Pick(now time.Duration, chance func() float64, not func(int) bool) (place int, ok bool) {
	if len(c.all) == 0 {
		return 0, false
	}
	if c.stale && now-c.weighed >= rests || c.weighed == 0 && c.stale {
		c.weigh(now)
	}
	c.picks++
	total := c.sums[len(c.sums)-1]
	best, least := -1, math.Inf(1)
	if c.told.Way != Informed {
		if i, way := c.plain(chance); way && (not == nil || !not(i)) {
			return i, true
		}
	}
	// Those that have just said how they stand. They were drawn by their shares, so the least loaded of them is a fair choice.
	from := int(chance() * pool) // of equals the one drawn, not the first
	for k := range pool {
		m := c.fresh[(from+k)%pool]
		if m == nil || m.gone || m.ill || now-m.at > 2*c.fades || not != nil && not(m.place) || !c.allowed(now, m, chance) {
			continue
		}
		if est := c.estimate(now, m); est < least {
			best, least = m.place, est
		}
	}
	for range c.told.Choices {
		i := c.draw(chance() * total)
		if i == best || not != nil && not(i) || !c.allowed(now, c.all[i], chance) {
			continue
		}
		if est := c.estimate(now, c.all[i]); est < least {
			best, least = i, est
		}
	}
	if best >= 0 {
		return best, true
	}
	// All that were drawn are out of the question: the first from a drawn place on that is not, a cold one only if there is no other.
	from = min(len(c.all)-1, int(chance()*float64(len(c.all))))
	for k := range c.all {
		i := (from + k) % len(c.all)
		switch {
		case not != nil && not(i):
		case c.allowed(now, c.all[i], chance):
			return i, true
		case best < 0:
			best = i
		}
	}
	return max(best, 0), best >= 0
}

// draw finds the place whose share a number falls into.
func (c *Chooser) draw(x float64) int {
	low, high := 0, len(c.sums)-1
	for low < high {
		mid := (low + high) / 2
		if c.sums[mid] > x {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

// Ask gives a member whose load is worth asking for: the one drawn of whom the oldest is known. It is called some times an op.
func (c *Chooser) Ask(now time.Duration, chance func() float64) (place int, ok bool) {
	if len(c.all) == 0 {
		return 0, false
	}
	total := c.sums[len(c.sums)-1]
	best, oldest := -1, time.Duration(math.MaxInt64)
	for range 2 {
		i := c.draw(chance() * total)
		at := c.all[i].at
		if !c.all[i].known {
			at = -1
		}
		if at < oldest {
			best, oldest = i, at
		}
	}
	return best, best >= 0
}
