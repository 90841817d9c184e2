package membership

import (
	"maps"
	"slices"
	"time"
)

// LocalHealth is how far a process may trust what it observes of others. Its names are shown on status sockets.
type LocalHealth uint8

// The values of LocalHealth.
const (
	LocalLearning   LocalHealth = iota // it has not listened for long enough to know what is usual
	LocalHealthy                       // it hears and is heard as usual
	LocalDegraded                      // it hears well under the usual: a part of the fleet may be cut off from it
	LocalIsolated                      // it hears nearly nobody: it is cut off itself
	LocalUnanswered                    // it hears others, but nobody answers it
	LocalResumed                       // it stood still until just now, and what it knows is out of date
	LocalFenced                        // a later process has its name
)

var localHealthNames = [...]string{"young", "sound", "thin", "cut-off", "unheard", "woken", "fenced"}

func (h LocalHealth) String() string { return localHealthNames[h] }

// CanDeclareGone reports whether a process of this health may declare others gone.
func (h LocalHealth) CanDeclareGone() bool {
	return h == LocalLearning || h == LocalHealthy || h == LocalDegraded
}

const (
	// windowSlots is into how many slots a window is divided; it moves on by one of them.
	windowSlots = 3
	// baselineWindows is of how many windows, each one slot after the last, the baseline is the median.
	baselineWindows = 30
	// minBaselineWindows is how many of them there have to be before there is a baseline.
	minBaselineWindows = 6
	// maxSenders bounds the senders of a slot: a flood of packets with made-up senders must not fill the memory, and
	// says nothing new past this.
	maxSenders = 4096
)

// connectivityMonitor compares how many members a process hears with how many it usually hears. It is owned by the
// table and is given the sender of each message, and each answer to a probe of ours.
type connectivityMonitor struct {
	config        ConnectivityConfig
	slots         [windowSlots]map[string]struct{} // senders by slot of the window
	currentSlot   int                              // the slot that fills
	nextRotation  time.Duration                    // when the next one begins
	history       []int                            // senders in each of the last windows, the oldest first
	lowWindows    int                              // windows in a row well under the baseline
	lowSince      time.Duration                    // when the first of them ended
	silentWindows int                              // windows in a row without any sender
	heardFraction float64                          // of the baseline, 1 at most
	lastAck       time.Duration                    // when a probe of ours was last answered
}

func newConnectivityMonitor(config ConnectivityConfig, now time.Duration) *connectivityMonitor {
	monitor := &connectivityMonitor{
		config:        config,
		heardFraction: 1,
		lastAck:       now,
		nextRotation:  now + config.Window/windowSlots,
	}
	for i := range monitor.slots {
		monitor.slots[i] = map[string]struct{}{}
	}
	return monitor
}

// observeSender takes the sender of a message.
func (m *connectivityMonitor) observeSender(sender string) {
	if slot := m.slots[m.currentSlot]; len(slot) < maxSenders {
		slot[sender] = struct{}{}
	}
}

// observeAck takes an answer to a probe of ours.
func (m *connectivityMonitor) observeAck(now time.Duration) { m.lastAck = now }

// advance moves the window on; peers is how many members there are to be heard. A process that stood still skips the
// slots of that time: nothing was heard in them by its own fault.
func (m *connectivityMonitor) advance(now time.Duration, peers int, stalled bool) {
	if stalled {
		m.nextRotation = now + m.config.Window/windowSlots
		m.lastAck = now
		m.lowWindows = 0
		m.silentWindows = 0
		return
	}
	for ; now >= m.nextRotation; m.nextRotation += m.config.Window / windowSlots {
		m.evaluateWindow(m.sendersInWindow(), peers, m.nextRotation)
		m.currentSlot = (m.currentSlot + 1) % windowSlots
		clear(m.slots[m.currentSlot])
	}
}

func (m *connectivityMonitor) sendersInWindow() int {
	senders := map[string]struct{}{}
	for _, slot := range m.slots {
		maps.Copy(senders, slot)
	}
	return len(senders)
}

// evaluateWindow compares a window, and the time at which it ended, with the baseline.
func (m *connectivityMonitor) evaluateWindow(heard, peers int, at time.Duration) {
	m.silentWindows++
	if heard > 0 {
		m.silentWindows = 0
	}
	if len(m.history) < minBaselineWindows || peers == 0 {
		m.heardFraction = 1
		m.lowWindows = 0
		if peers > 0 && (heard > 0 || len(m.history) > 0) { // windows before the first message are not usual
			m.recordWindow(heard)
		}
		return
	}
	// The baseline counts for no more than the members that there are, so members that left are not missed.
	m.heardFraction = min(1, float64(heard)/max(1, min(m.baseline(), float64(peers))))
	if m.heardFraction >= m.config.DegradedBelow {
		m.lowWindows = 0
		m.recordWindow(heard)
		return
	}
	m.lowWindows++
	if m.lowWindows == 1 {
		m.lowSince = at
	}
	if at-m.lowSince >= m.config.AdaptAfter { // a new baseline begins
		m.history = m.history[:0]
		m.lowWindows = 0
		m.heardFraction = 1
	}
}

func (m *connectivityMonitor) recordWindow(heard int) {
	if len(m.history) == baselineWindows {
		m.history = slices.Delete(m.history, 0, 1)
	}
	m.history = append(m.history, heard)
}

// baseline is the number of senders that a window usually has.
func (m *connectivityMonitor) baseline() float64 {
	if len(m.history) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.history))
	return float64(sorted[len(sorted)/2])
}

// hearsNobody reports whether nobody was heard for two windows where there usually is somebody.
func (m *connectivityMonitor) hearsNobody() bool {
	return m.silentWindows > 2*windowSlots && len(m.history) >= minBaselineWindows
}

// localHealth is the health by what is heard alone. Nearly nobody in two windows, one slot apart, is isolation; a
// window that is merely low may be so by chance, and has to stay so for a whole window more.
func (m *connectivityMonitor) localHealth(now time.Duration, peers int) LocalHealth {
	switch {
	case peers == 0 || len(m.history) < minBaselineWindows:
		return LocalLearning
	case m.lowWindows > 1 && m.heardFraction < m.config.IsolatedBelow:
		return LocalIsolated
	case now-m.lastAck > m.config.AckTimeout:
		return LocalUnanswered
	case m.lowWindows > windowSlots:
		return LocalDegraded
	}
	return LocalHealthy
}

// ObserveSender takes the sender of any message.
func (t *Table) ObserveSender(sender string) { t.connectivity.observeSender(sender) }

// ObserveAck takes an answer to a probe of ours.
func (t *Table) ObserveAck(now time.Duration) { t.connectivity.observeAck(now) }

// HearsNobody reports whether this process is cut off so far that what it would say about others is worth nothing,
// and is not to be sent.
func (t *Table) HearsNobody() bool { return t.connectivity.hearsNobody() }

// localHealth is how far this process may trust itself now.
func (t *Table) localHealth(now time.Duration) LocalHealth {
	switch {
	case t.fenced:
		return LocalFenced
	case now < t.settlingUntil:
		return LocalResumed
	}
	return t.connectivity.localHealth(now, t.countPresentMembers())
}

// healthy reports whether what the failure detector says is not due to this process.
func (t *Table) locallyHealthy(now time.Duration) bool {
	health := t.localHealth(now)
	return health == LocalHealthy || health == LocalLearning
}

// presentMembers is how many members there are to be heard.
func (t *Table) countPresentMembers() (count int) {
	for member := range allMembers(t.members) {
		if member.State.Present() {
			count++
		}
	}
	return count
}
