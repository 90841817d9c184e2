// Package spread decides which of many members gets the next op, where each process that decides sees a small share of the ops, and
// what it knows is thin and late. It is pure: time, chance and what is believed of the members are arguments. docs/spread.md says
// which ways were weighed and by which measurement.
package spread

import (
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
	Fades    time.Duration // in which what is known of a member's load is worth half: others go by the same word
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
	return Told{Choices: 3, Fades: 250 * time.Millisecond, Believed: 5 * time.Second, Near: 0.7, Trickle: 0.02, Out: 0.3, Memory: 5 * time.Second,
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
	took    float64 // s that its served ones took, on average
	touched time.Duration
	weight  float64 // its share, all told
	gone    bool
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
	bad     int     // members that look bad
	turn    int     // of RoundRobin
	Panics  uint64  // times that most looked bad, and nobody was held to be
}

// zone is what is believed of one zone as a whole.
type zone struct {
	capacity, load, room float64
	known                int
}

// New makes a chooser that knows nobody.
func New(told Told) *Chooser {
	return &Chooser{told: told, byName: map[Name]int{}, zones: map[string]*zone{}, tries: told.Burst, stale: true}
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
			x = &member{touched: now}
		}
		x.Member, x.set = m, now
		byName[m.Name] = len(all)
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

// Told takes a member's own word on its load, ops in hand, that was so age ago. The effect on the next choices is bounded by how
// old it is, and fades, as all that heard it go by it.
func (c *Chooser) Told(now time.Duration, i int, load float64, age time.Duration) {
	m := c.all[i]
	at := now - age
	// Danger: a member that says nonsense, always idle or older than before. What is not a load says nothing; the newest counts.
	if math.IsNaN(load) || load < 0 || load > 1e6 || age < 0 || age > c.told.Believed || m.known && at <= m.at {
		return
	}
	m.load, m.at, m.known, m.sent = load/m.Capacity, at, true, 0
	c.stale = true
}

// Sent notes that an op was given to a member.
func (c *Chooser) Sent(now time.Duration, i int) {
	m := c.all[i]
	m.open++
	m.sent += 1 / m.Capacity
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
		// How slow it is goes by a mean over some ops, so that one long op does not turn the load away.
		const share = 0.1
		if m.took == 0 {
			m.took = took.Seconds()
		}
		m.took += share * (took.Seconds() - m.took)
	case Failed, Lost:
		m.bad++
	case Refused: // it said no as it has too much: that is load, not illness
		if est := c.estimate(now, m); est < 2*c.mean+1 {
			m.load, m.at, m.known, m.sent = 2*c.mean+1, now, true, 0
		}
	}
	c.stale = true
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
	left := math.Exp2(-float64(now-m.at) / float64(c.told.Fades))
	return c.mean + (m.load-c.mean)*left + m.sent
}

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
	// How many look bad. When most do, it is our own judgement that is wrong, or what all of them depend on: then nobody is held to be.
	c.bad = 0
	for _, m := range c.all {
		if c.ill(now, m) {
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
		if m.Warm > 0 && m.Cold > 0 {
			left := max(0, m.Cold-(now-m.set))
			// From a tenth on, straight up: a process that gets nothing is never warm.
			w *= 0.1 + 0.9*(1-float64(left)/float64(m.Warm))
		}
		if held {
			switch {
			case c.ill(now, m):
				w *= c.told.Trickle
			case usual > 0 && m.took > 1.5*usual: // a slow one loses in proportion; half as slow again is chance
				w *= max(c.told.Trickle, usual/m.took)
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

// ill tells whether a member fails more than it serves, by more than a few ops. Who fails at once is free at once: its load says that it is
// the best of all.
func (c *Chooser) ill(now time.Duration, m *member) bool {
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
	// Nothing leaves under Near; at 1.2, where the cores are full and some wait, as much as the others have room for beside ours.
	leaves := min(1, max(0, (use(own)-c.told.Near)/(1.2-c.told.Near))) * room / (room + own.room)
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
	total := c.sums[len(c.sums)-1]
	best, least := -1, math.Inf(1)
	if c.told.Way != Informed {
		if i, way := c.plain(chance); way && (not == nil || !not(i)) {
			return i, true
		}
	}
	for range c.told.Choices {
		i := c.draw(chance() * total)
		if i == best || not != nil && not(i) {
			continue
		}
		if est := c.estimate(now, c.all[i]); est < least {
			best, least = i, est
		}
	}
	if best >= 0 {
		return best, true
	}
	// All that were drawn are out of the question: the first from a drawn place on that is not.
	from := min(len(c.all)-1, int(chance()*float64(len(c.all))))
	for k := range c.all {
		if i := (from + k) % len(c.all); not == nil || !not(i) {
			return i, true
		}
	}
	return 0, false
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
