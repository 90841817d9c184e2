package members

import (
	"slices"
	"time"
)

// Standing is how far a process trusts its own eyes.
type Standing uint8

const (
	Young   Standing = iota // it has not listened for long enough to know what is usual
	Sound                   // it hears and is heard as usual
	Thin                    // it hears well under the usual: a part of the fleet may be cut off from it
	CutOff                  // it hears nearly nobody: it is the one that is cut off
	Unheard                 // it hears others, but nobody answers it
	Woken                   // it stood still until just now, and what it believes is as old
	Ousted                  // a later life has its name
)

var standingNames = [...]string{"young", "sound", "thin", "cut-off", "unheard", "woken", "fenced"}

func (s Standing) String() string { return standingNames[s] }

// Judges tells whether a process in this standing may declare others gone.
func (s Standing) Judges() bool { return s == Young || s == Sound || s == Thin }

// Ears is how a process hears the others. It is handed every message that came, by its sender, and each answer to its own calls.
type Ears struct {
	told    Ear
	buckets [slots]map[string]struct{} // senders by bucket of time, the oldest next to go
	at      int                        // the bucket that fills
	turned  time.Duration              // when the next one begins
	counts  []int                      // senders in each window of late, the usual goes by these
	low     int                        // windows in a row well under the usual
	deaf    int                        // windows in a row in which nobody was heard
	share   float64
	answer  time.Duration // the last answer to a call of ours
	since   time.Duration // when it began to listen
	adapted time.Duration // since when it has been low without the usual going by it
}

// Ear is what is told of hearing.
type Ear struct {
	Window  time.Duration // in which senders are counted, in slots
	ThinAt  float64       // of the usual
	CutAt   float64
	Adapt   time.Duration // after so long what is heard becomes the usual, whatever it is
	Answers time.Duration // without an answer for so long, nobody hears us
}

// slots is in how many parts a window moves on: a third of it late is soon enough.
const slots = 3

// remembered is how many windows the usual is the median of, each a third further on than the last: some ten windows.
const remembered = 30

// enough is how many of them there have to be before anything is usual.
const enough = 6

// NewEars begins to listen.
func NewEars(told Ear, now time.Duration) *Ears {
	e := &Ears{told: told, share: 1, answer: now, since: now, turned: now + told.Window/slots}
	for i := range e.buckets {
		e.buckets[i] = map[string]struct{}{}
	}
	return e
}

// mostSenders bounds a bucket. Danger: a flood of packets with made-up senders fills the memory; past this they say nothing new.
const mostSenders = 4096

// Heard takes a message's sender.
func (e *Ears) Heard(sender string) {
	if b := e.buckets[e.at]; len(b) < mostSenders {
		b[sender] = struct{}{}
	}
}

// Answered takes an answer to a call of ours.
func (e *Ears) Answered(now time.Duration) { e.answer = now }

// turn moves the window on. others is how many there are to be heard. A process that stood still skips the buckets that it slept
// through: in them nothing was heard by its own fault.
func (e *Ears) turn(now time.Duration, others int, stood bool) {
	if stood {
		e.turned, e.answer = now+e.told.Window/slots, now
		e.low, e.deaf = 0, 0
		return
	}
	for ; now >= e.turned; e.turned += e.told.Window / slots {
		heard := map[string]struct{}{}
		for _, b := range e.buckets {
			for sender := range b {
				heard[sender] = struct{}{}
			}
		}
		e.weigh(len(heard), others, e.turned)
		e.at = (e.at + 1) % slots
		clear(e.buckets[e.at])
	}
}

// weigh compares one window with the usual.
func (e *Ears) weigh(heard, others int, at time.Duration) {
	usual := e.usual()
	e.deaf++
	if heard > 0 {
		e.deaf = 0
	}
	if len(e.counts) < enough || others == 0 {
		e.share, e.low = 1, 0
		if others > 0 && (heard > 0 || len(e.counts) > 0) { // what comes before the first word is not the usual
			e.learn(heard)
		}
		return
	}
	// What is usual shrinks with those that left by their own word: others is who there is to hear.
	e.share = min(1, float64(heard)/max(1, min(usual, float64(others))))
	if e.share >= e.told.ThinAt {
		e.low = 0
		e.learn(heard)
		return
	}
	if e.low++; e.low == 1 {
		e.adapted = at
	}
	if at-e.adapted >= e.told.Adapt { // whatever it was, it is the usual now
		clear(e.counts)
		e.counts, e.low, e.share = e.counts[:0], 0, 1
	}
}

func (e *Ears) learn(heard int) {
	if len(e.counts) == remembered {
		e.counts = slices.Delete(e.counts, 0, 1)
	}
	e.counts = append(e.counts, heard)
}

func (e *Ears) usual() float64 {
	if len(e.counts) == 0 {
		return 0
	}
	s := slices.Clone(e.counts)
	slices.Sort(s)
	return float64(s[len(s)/2])
}

// Deaf tells whether a process has heard nobody for two windows, where there is somebody to hear: its own word about others is
// then worth nothing, and it keeps it to itself.
func (e *Ears) Deaf() bool { return e.deaf > 2*slots && len(e.counts) >= enough }

// standing is what the ears alone say. Nearly nobody in two windows, a third apart, is a cut; a thin one may be so by chance, and
// has to be so for a whole window longer.
func (e *Ears) standing(now time.Duration, others int) Standing {
	switch {
	case others == 0 || len(e.counts) < enough:
		return Young
	case e.low > 1 && e.share < e.told.CutAt:
		return CutOff
	case now-e.answer > e.told.Answers:
		return Unheard
	case e.low > slots:
		return Thin
	}
	return Sound
}
