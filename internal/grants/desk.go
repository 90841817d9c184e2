// Package grants shares a hard cap on calls to one service below among all processes of a fleet. A desk beside the service grants each holder so
// many calls at a time, for a while; whatever views the processes have of each other, and whatever is lost, late, twice or out of order
// between them, the calls of all together never pass the cap. It is pure: what came is handed in with its time. docs/below.md says
// which ways were weighed, and why it holds.
package grants

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lanewheel/internal/members"
)

// Told is what a desk goes by.
type Told struct {
	Cap       int           // calls at a time that the service is given by all together
	Alone     int           // of them, what each process may make without a grant
	Processes int           // as many may be up at once; Alone for each is set aside
	Holds     time.Duration // how long a grant holds, by its holder's clock from when it asked
	Longest   time.Duration // that a call lasts below, at the most
	Drift     float64       // by which share a clock may run too fast or too slow
	Holders   int           // known at a time
}

// Usual is what holds without being told, but for Cap.
func Usual() Told {
	return Told{Processes: 100, Holds: 2 * time.Second, Longest: 5 * time.Second, Drift: 0.01, Holders: 1000}
}

// Room is what is left to be granted once each process has what it may make alone.
func (t Told) Room() int { return max(0, t.Cap-t.Alone*t.Processes) }

// stretch is the longest that a span of another's clock can take by ours.
func (t Told) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.Drift) / (1 - t.Drift))
}

// Over is when all is over that was granted up to a moment: the last call is begun just before the grant ends, and lasts as long as any may.
func (t Told) over(now time.Duration) time.Duration { return now + t.stretch(t.Holds+t.Longest) }

// Has is the grant that a holder goes by.
type Has struct {
	Desk  members.BootID // who granted it
	Seq   uint64         // the ask that it answered
	Limit int            // calls at a time beyond those that it may make alone; 0 once it is over
}

// Ask is what a holder says of itself, and wants. A later one counts.
type Ask struct {
	Who   members.ID
	Seq   uint64
	Has   Has
	Open  int // calls that may be running below, beyond those that it may make alone
	Wants int // that it could use, beyond those
}

// Grant is the answer to an ask.
type Grant struct {
	Desk  members.BootID
	Seq   uint64 // of the ask
	Limit int
	Holds time.Duration
	// The rest is what a holder goes by beside it: calls that it may make without a grant, and the longest that a call may last.
	Alone   int
	Longest time.Duration
}

// Desk grants. It belongs to one goroutine.
type Desk struct {
	told    Told
	life    members.BootID
	quiet   time.Duration // until then what an earlier desk granted may be in force
	all     map[members.ID]*holder
	bound   int // sum of the holders' bounds
	ousted  bool
	levels  time.Duration // when the level was worked out
	level   int
	extra   int // holders that get one more than the level, by lot
	stale   bool
	Refused uint64 // asks of holders that there is no room to know
	Ignored uint64 // asks that came late or twice
}

// holder is what the desk keeps of one.
type holder struct {
	hash  uint64
	seq   uint64
	sent  []Has // grants that it may go by, the oldest first
	open  int
	wants int
	until time.Duration // when all of it is over
	bound int
}

// keptSent is how many grants are told apart of which no word came back; beyond that the oldest two count as the greater one. An ask that
// comes says which are behind it, so more are only kept of a holder that hears nothing.
const keptSent = 8

// NewDesk begins at the desk. Danger: a desk that is started anew knows nothing of what the one before granted. Until all of that
// is over it only renews what holders say they have, which together is no more than that one granted.
func NewDesk(told Told, life members.BootID, now time.Duration) *Desk {
	return &Desk{told: told, life: life, quiet: told.over(now), all: map[members.ID]*holder{}, stale: true}
}

// Oust ends it: a later life has the desk, and grants.
func (d *Desk) Oust() { d.ousted = true }

// Retell takes values that were told anew. A cap that is lower holds for what is granted from now on. What is in force runs out by its time.
func (d *Desk) Retell(told Told, now time.Duration) {
	// Danger: a call that is allowed to last longer outlives what was reckoned with.
	if told.over(0) > d.told.over(0) {
		for _, h := range d.all {
			h.until += told.over(0) - d.told.over(0)
		}
	}
	d.told, d.stale = told, true
}

// Quiet tells whether the desk still only renews.
func (d *Desk) Quiet(now time.Duration) bool { return now < d.quiet }

// Granted is how many calls may be running by grants, and how many holders there are.
func (d *Desk) Granted(now time.Duration) (calls, holders int) {
	d.expire(now)
	return d.bound, len(d.all)
}

// Asked answers an ask; ok is false if it gets no answer.
func (d *Desk) Asked(now time.Duration, a Ask) (g Grant, ok bool) {
	if d.ousted {
		return g, false
	}
	d.expire(now)
	h := d.all[a.Who]
	switch {
	case h != nil && a.Seq <= h.seq:
		d.Ignored++
		return g, false
	case h == nil && len(d.all) >= d.told.Holders:
		d.Refused++
		return g, false
	case h == nil:
		h = &holder{hash: xxhash.Sum64String(a.Who.String())}
		d.all[a.Who] = h
	}
	h.seq = a.Seq
	most := d.told.Cap // Danger: nonsense, which would have the sums overflow
	h.open, h.wants = min(max(0, a.Open), most), min(max(0, a.Wants), most)
	claim := 0 // what an earlier desk granted it and is in force still; once we are quiet no more that is over
	if a.Has.Desk == d.life {
		h.sent = slices.DeleteFunc(h.sent, func(s Has) bool { return s.Seq < a.Has.Seq })
	} else if d.Quiet(now) && a.Has.Desk != 0 {
		claim = min(max(0, a.Has.Limit), most)
	}
	d.stale = true
	d.rebound(h)
	limit := 0
	if d.Quiet(now) {
		// What an earlier desk granted and it still goes by, or, once it goes by ours, what that renewed.
		limit = claim
		for _, s := range h.sent {
			limit = max(limit, s.Limit)
		}
		limit = min(limit, h.wants)
	} else {
		limit = min(h.wants, d.fair(now, h), max(0, d.told.Room()-(d.bound-h.bound)))
	}
	if len(h.sent) >= keptSent {
		h.sent[1].Limit = max(h.sent[0].Limit, h.sent[1].Limit)
		h.sent = slices.Delete(h.sent, 0, 1)
	}
	h.sent = append(h.sent, Has{Desk: d.life, Seq: a.Seq, Limit: limit})
	h.until = d.told.over(now)
	d.rebound(h)
	return Grant{Desk: d.life, Seq: a.Seq, Limit: limit, Holds: d.told.Holds, Alone: d.told.Alone, Longest: d.told.Longest}, true
}

// rebound works out how many calls a holder may have running, by all that it may go by.
func (d *Desk) rebound(h *holder) {
	d.bound -= h.bound
	h.bound = h.open
	for _, s := range h.sent {
		h.bound = max(h.bound, s.Limit)
	}
	d.bound += h.bound
}

// expire forgets holders of whom nothing can be running any more.
func (d *Desk) expire(now time.Duration) {
	for id, h := range d.all {
		if now >= h.until && h.until > 0 {
			d.bound -= h.bound
			delete(d.all, id)
			d.stale = true
		}
	}
}

// turn is how long a holder keeps the one call that it has by lot, where there are fewer calls than who want one.
const turn = 3 * time.Second

// fair is what a holder gets of the room: as much as it wants, up to a level that is the same for all; what is left over goes, one
// each, to those that the lot falls on, another lot each turn, so that nobody is without for ever.
func (d *Desk) fair(now time.Duration, h *holder) int {
	// The level of hundreds is worked out for each moment once, not for each ask.
	if d.stale && (now-d.levels >= 20*time.Millisecond || len(d.all) < 64) || d.levels/turn != now/turn {
		d.weigh(now)
	}
	if h.wants > d.level && d.lot(now, h) {
		return d.level + 1
	}
	return d.level
}

func (d *Desk) weigh(now time.Duration) {
	d.levels, d.stale = now, false
	wants := make([]int, 0, len(d.all))
	for _, h := range d.all {
		if h.wants > 0 {
			wants = append(wants, h.wants)
		}
	}
	slices.Sort(wants)
	room := d.told.Room()
	d.level, d.extra = room, 0
	for i, w := range wants {
		if left := len(wants) - i; w*left > room {
			d.level, d.extra = room/left, room%left
			break
		}
		room -= w
	}
}

// lot draws who gets one more: the holders with the least hashes, of those that want more.
func (d *Desk) lot(now time.Duration, h *holder) bool {
	if d.extra == 0 {
		return false
	}
	round := uint64(now / turn)
	draw := func(h *holder) uint64 { return h.hash ^ round*0x9e3779b97f4a7c15 }
	own, before := draw(h), 0
	for _, x := range d.all {
		if x.wants > d.level && cmp.Less(draw(x), own) {
			before++
		}
	}
	return before < d.extra
}
