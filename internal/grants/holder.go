package grants

import (
	"math"
	"time"

	"lanewheel/internal/members"
)

// Holder is one process's side of a desk. It belongs to one goroutine.
type Holder struct {
	Who     members.ID
	Most    int           // calls at a time that may be made without a grant, as told here
	Longest time.Duration // that one may last, as told here or by the desk, whichever is less
	// Alone is how many may be made without a grant, once the desk has said so. Danger: who has not heard yet what is set aside makes none.
	Alone int

	has    Has
	until  time.Duration
	seq    uint64
	asked  [8]asked // the last ones, by seq
	next   time.Duration
	holds  time.Duration // of the last grant
	peak   float64       // calls wanted at a time, fading
	peakAt time.Duration
}

type asked struct {
	seq  uint64
	desk members.BootID
	at   time.Duration
}

// firstHolds is how long a grant is taken to hold before one has come.
const firstHolds = 2 * time.Second

// Wanted notes how many calls are wanted at a time now, those in hand among them.
func (h *Holder) Wanted(now time.Duration, calls int) {
	// It fades by half in the time that a grant holds: a burst is wanted again soon, or not.
	h.peak *= math.Exp2(-float64(now-h.peakAt) / float64(h.span()))
	h.peakAt = now
	h.peak = max(h.peak, float64(calls))
}

func (h *Holder) span() time.Duration {
	if h.holds > 0 {
		return h.holds
	}
	return firstHolds
}

// wants is a quarter and one more than was wanted of late: a desk is asked some times a second, calls come by the hundred.
func (h *Holder) wants(now time.Duration) int {
	h.Wanted(now, 0)
	if h.peak < 0.05 {
		return 0
	}
	return max(0, int(math.Ceil(h.peak*1.25))+1-h.Alone)
}

// Limit is how many calls may be made at a time.
func (h *Holder) Limit(now time.Duration) int {
	if now >= h.until { // Danger: what is over here may be another's already
		return h.Alone
	}
	return h.Alone + h.has.Limit
}

// Due is when the desk is to be asked next: four times while a grant holds, sooner while calls wait that it has not heard of.
func (h *Holder) Due(now time.Duration, waiting bool) time.Duration {
	if waiting && h.next > now {
		// Danger: hundreds that are short of calls, and each asks for every one. Once in a sixteenth of a grant is soon enough.
		return min(h.next, h.lastAsk()+h.span()/16)
	}
	return h.next
}

func (h *Holder) lastAsk() time.Duration { return h.asked[h.seq%uint64(len(h.asked))].at }

// Ask makes the next ask of a desk; open is the calls that may be running below.
func (h *Holder) Ask(now time.Duration, desk members.BootID, open int) Ask {
	h.seq++
	h.asked[h.seq%uint64(len(h.asked))] = asked{h.seq, desk, now}
	h.next = now + h.span()/4
	a := Ask{Who: h.Who, Seq: h.seq, Has: h.has, Open: max(0, open-h.Alone), Wants: h.wants(now)}
	if now >= h.until {
		a.Has.Limit = 0
	}
	return a
}

// Granted takes an answer, and tells whether it counts. It holds from when it was asked for, so that it ends here before it does at the
// desk, however long it took to come.
func (h *Holder) Granted(now time.Duration, g Grant) bool {
	was := h.asked[g.Seq%uint64(len(h.asked))]
	// Danger: an answer that travelled for long; one of a desk that is over; one to an ask before the last that was answered.
	if was.seq != g.Seq || was.desk != g.Desk || g.Desk == h.has.Desk && g.Seq <= h.has.Seq || g.Seq <= h.has.Seq || g.Limit < 0 || g.Holds <= 0 {
		return false
	}
	h.Alone = min(h.Most, max(0, g.Alone))
	if g.Longest > 0 {
		h.Longest = min(h.Longest, g.Longest)
	}
	h.has, h.holds, h.until = Has{g.Desk, g.Seq, g.Limit}, g.Holds, was.at+g.Holds
	return true
}
