package membership

import (
	"slices"
	"time"
)

// LocalHealth is how far a process trusts its own eyes.
type LocalHealth uint8

const (
	LocalLearning   LocalHealth = iota // it has not listened for long enough to know what is usual
	LocalHealthy                       // it hears and is heard as usual
	LocalDegraded                      // it hears well under the usual: a part of the fleet may be cut off from it
	LocalIsolated                      // it hears nearly nobody: it is the one that is cut off
	LocalUnanswered                    // it hears others, but nobody answers it
	LocalResumed                       // it stood still until just now, and what it believes is as old
	LocalFenced                        // a later life has its name
)

var localHealthNames = [...]string{"young", "sound", "thin", "cut-off", "unheard", "woken", "fenced"}

func (s LocalHealth) String() string { return localHealthNames[s] }

// CanDeclareGone tells whether a process in this standing may declare others gone.
func (s LocalHealth) CanDeclareGone() bool {
	return s == LocalLearning || s == LocalHealthy || s == LocalDegraded
}

// connectivityMonitor is how a process hears the others. It is handed every message that came, by its sender, and each answer to its own calls.
type connectivityMonitor struct {
	config        ConnectivityConfig
	buckets       [windowSlots]map[string]struct{} // senders by bucket of time, the oldest next to go
	current       int                              // the bucket that fills
	nextRotation  time.Duration                    // when the next one begins
	history       []int                            // senders in each window of late, the usual goes by these
	lowWindows    int                              // windows in a row well under the usual
	silentWindows int                              // windows in a row in which nobody was heard
	heardFraction float64
	lastAck       time.Duration // the last answer to a call of ours
	start         time.Duration // when it began to listen
	lowSince      time.Duration // since when it has been low without the usual going by it
}

// windowSlots is in how many parts a window moves on: a third of it late is soon enough.
const windowSlots = 3

// baselineWindows is how many windows the usual is the median of, each a third further on than the last: some ten windows.
const baselineWindows = 30

// minBaselineWindows is how many of them there have to be before anything is usual.
const minBaselineWindows = 6

// newConnectivityMonitor begins to listen.
func newConnectivityMonitor(config ConnectivityConfig, now time.Duration) *connectivityMonitor {
	monitor := &connectivityMonitor{config: config, heardFraction: 1, lastAck: now, start: now, nextRotation: now + config.Window/windowSlots}
	for i := range monitor.buckets {
		monitor.buckets[i] = map[string]struct{}{}
	}
	return monitor
}

// maxSenders bounds a bucket. Danger: a flood of packets with made-up senders fills the memory; past this they say nothing new.
const maxSenders = 4096

// observeSender takes a message's sender.
func (e *connectivityMonitor) observeSender(sender string) {
	if bucket := e.buckets[e.current]; len(bucket) < maxSenders {
		bucket[sender] = struct{}{}
	}
}

// observeAck takes an answer to a call of ours.
func (e *connectivityMonitor) observeAck(now time.Duration) { e.lastAck = now }

// advance moves the window on. others is how many there are to be heard. A process that stood still skips the buckets that it slept
// through: in them nothing was heard by its own fault.
func (e *connectivityMonitor) advance(now time.Duration, peers int, stalled bool) {
	if stalled {
		e.nextRotation, e.lastAck = now+e.config.Window/windowSlots, now
		e.lowWindows, e.silentWindows = 0, 0
		return
	}
	for ; now >= e.nextRotation; e.nextRotation += e.config.Window / windowSlots {
		senders := map[string]struct{}{}
		for _, bucket := range e.buckets {
			for sender := range bucket {
				senders[sender] = struct{}{}
			}
		}
		e.evaluateWindow(len(senders), peers, e.nextRotation)
		e.current = (e.current + 1) % windowSlots
		clear(e.buckets[e.current])
	}
}

// evaluateWindow compares one window with the usual.
func (e *connectivityMonitor) evaluateWindow(heard, peers int, at time.Duration) {
	baseline := e.baseline()
	e.silentWindows++
	if heard > 0 {
		e.silentWindows = 0
	}
	if len(e.history) < minBaselineWindows || peers == 0 {
		e.heardFraction, e.lowWindows = 1, 0
		if peers > 0 && (heard > 0 || len(e.history) > 0) { // what comes before the first word is not the usual
			e.recordWindow(heard)
		}
		return
	}
	// What is usual shrinks with those that left by their own word: others is who there is to hear.
	e.heardFraction = min(1, float64(heard)/max(1, min(baseline, float64(peers))))
	if e.heardFraction >= e.config.DegradedBelow {
		e.lowWindows = 0
		e.recordWindow(heard)
		return
	}
	if e.lowWindows++; e.lowWindows == 1 {
		e.lowSince = at
	}
	if at-e.lowSince >= e.config.AdaptAfter { // whatever it was, it is the usual now
		clear(e.history)
		e.history, e.lowWindows, e.heardFraction = e.history[:0], 0, 1
	}
}

func (e *connectivityMonitor) recordWindow(heard int) {
	if len(e.history) == baselineWindows {
		e.history = slices.Delete(e.history, 0, 1)
	}
	e.history = append(e.history, heard)
}

func (e *connectivityMonitor) baseline() float64 {
	if len(e.history) == 0 {
		return 0
	}
	sorted := slices.Clone(e.history)
	slices.Sort(sorted)
	return float64(sorted[len(sorted)/2])
}

// hearsNobody tells whether a process has heard nobody for two windows, where there is somebody to hear: its own word about others is
// then worth nothing, and it keeps it to itself.
func (e *connectivityMonitor) hearsNobody() bool {
	return e.silentWindows > 2*windowSlots && len(e.history) >= minBaselineWindows
}

// localHealth is what the ears alone say. Nearly nobody in two windows, a third apart, is a cut; a thin one may be so by chance, and
// has to be so for a whole window longer.
func (e *connectivityMonitor) localHealth(now time.Duration, peers int) LocalHealth {
	switch {
	case peers == 0 || len(e.history) < minBaselineWindows:
		return LocalLearning
	case e.lowWindows > 1 && e.heardFraction < e.config.IsolatedBelow:
		return LocalIsolated
	case now-e.lastAck > e.config.AckTimeout:
		return LocalUnanswered
	case e.lowWindows > windowSlots:
		return LocalDegraded
	}
	return LocalHealthy
}

// ObserveSender takes the sender of any message; Answered an answer to a call of ours.
func (t *Table) ObserveSender(sender string) { t.connectivity.observeSender(sender) }

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
