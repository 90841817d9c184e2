package spread

import (
	"math"
	"time"
)

// HandTold is what handing over goes by.
type HandTold struct {
	Share float64       // of the ops that come, so many may be handed over
	Saved float64       // of them that may be saved up
	Full  float64       // ops in hand a core from which on a member counts as full
	Most  float64       // share of the members that may be full: past it handing over is itself the overload
	Fresh time.Duration // how old a member's word on its load may be
}

// UsualHand is what holds without being told; docs/spread.md has the measurements.
func UsualHand() HandTold {
	return HandTold{Share: 0.2, Saved: 20, Full: 2, Most: 0.5, Fresh: time.Second}
}

// Why is what keeps an op here, in one word.
type Why string

const (
	Offered Why = ""
	Spent   Why = "budget"   // as many have been handed over as may be
	Late    Why = "late"     // its time does not allow it
	Deaf    Why = "unknown"  // nobody has said of late how it stands
	Crowd   Why = "most"     // most of them are full
	NoRoom  Why = "no-room"  // none of those drawn has room, or is much better off than we are
	Backed  Why = "turned"   // those that were handed over were mostly turned away there too
	Handed  Why = "handed"   // it was handed over to us: never by two hops, and so never in a circle
	Leaving Why = "leaving"  // we leave: what we let go, its caller takes elsewhere
	Unnamed Why = "no-proof" // who asks is known by his connection alone, which the other does not see
)

// Hander decides whether an op that is turned away here goes to another member, once. It goes by a chooser's words, and belongs to
// its goroutine.
type Hander struct {
	told    HandTold
	c       *Chooser
	saved   float64
	kept    float64 // of those handed over, fading: taken there
	back    float64 // and turned away
	touched time.Duration
	rests   time.Duration
	looked  time.Duration // when the full ones were counted
	known   int
	full    int
	began   bool
}

// NewHander makes one that goes by a chooser's words.
func NewHander(told HandTold, c *Chooser) *Hander {
	return &Hander{told: told, c: c, saved: told.Saved}
}

// Retell takes values that were told anew.
func (h *Hander) Retell(told HandTold) { h.told, h.saved = told, min(h.saved, told.Saved) }

// Came notes that an op came here.
func (h *Hander) Came() { h.saved = min(h.told.Saved, h.saved+h.told.Share) }

// firstTakes is what an op is taken to take elsewhere before one came back.
const firstTakes = 100 * time.Millisecond

// Offer tells whom an op that is turned away here goes to: one of a few drawn by their shares who has room and is far better off. left is the
// time that it still has, own our load in ops a core.
func (h *Hander) Offer(now, left time.Duration, own float64, chance func() float64) (place int, why Why) {
	takes := firstTakes
	if h.c.usual > 0 {
		takes = time.Duration(h.c.usual * float64(time.Second))
	}
	switch {
	case h.saved < 1:
		return 0, Spent
	case now < h.rests:
		return 0, Backed
	case left < 2*takes: // twice: what takes as long as usual here comes too late there
		return 0, Late
	case h.c.Len() == 0:
		return 0, Deaf
	}
	h.count(now)
	switch {
	case h.known == 0:
		return 0, Deaf
	case float64(h.full) > h.told.Most*float64(h.known):
		return 0, Crowd
	}
	if h.c.stale && now-h.c.weighed >= rests || h.c.weighed == 0 && h.c.stale {
		h.c.weigh(now)
	}
	h.c.picks++
	best, least := -1, math.Inf(1)
	consider := func(m *member) {
		if m == nil || m.gone || m.ill || m.Doubted || !h.fresh(now, m) || !h.c.allowed(now, m, chance) {
			return
		}
		// Danger: what we know is old and others hand over too: what it would have with this op counts, and half of our own load is the
		// least that a hop is worth. A word fades over its time and not, as a relay's, over an op's: few ops are handed over, so an idle
		// member stays so for longer.
		left := math.Exp2(-float64(now-m.at) / float64(h.told.Fresh))
		if est := h.c.mean + (m.load-h.c.mean)*left + m.sent + 1/m.Capacity; est < least && est < h.told.Full && est <= own/2 {
			best, least = m.place, est
		}
	}
	for _, m := range h.c.fresh {
		consider(m)
	}
	total := h.c.sums[len(h.c.sums)-1]
	for range h.c.told.Choices {
		consider(h.c.all[h.c.draw(chance()*total)])
	}
	if best < 0 {
		return 0, NoRoom
	}
	h.saved--
	return best, Offered
}

func (h *Hander) fresh(now time.Duration, m *member) bool { return m.known && now-m.at <= h.told.Fresh }

// count counts the full ones among those whose words are fresh, a few times a second.
func (h *Hander) count(now time.Duration) {
	if h.began && now-h.looked < 50*time.Millisecond {
		return
	}
	h.began, h.looked, h.known, h.full = true, now, 0, 0
	for _, m := range h.c.all {
		if h.fresh(now, m) {
			h.known++
			if m.load >= h.told.Full { // its word, not what we make of it: one that we send much to is not full by that
				h.full++
			}
		}
	}
}

// Ended notes what became of one that was handed over. Where they are mostly turned away as well, none is handed over for a while.
func (h *Hander) Ended(now time.Duration, what Outcome) {
	left := math.Exp2(-float64(now-h.touched) / float64(h.c.told.Memory))
	h.kept, h.back, h.touched = h.kept*left, h.back*left, now
	if what == Served {
		h.kept++
	} else {
		h.back++
	}
	const few = 3 // of a hand over's bad luck
	if h.back >= few && h.back > h.kept {
		h.rests = now + time.Second
		h.back /= 2 // after the rest a few are tried before it rests again
	}
}
