package membership

import (
	"maps"
	"slices"
	"time"
)

// LocalHealth describes how far a process can trust its own observations of other members. Its names are shown on
// status sockets.
type LocalHealth uint8

// The values of LocalHealth.
const (
	LocalLearning   LocalHealth = iota // it has not listened for long enough to have a baseline
	LocalHealthy                       // it hears the usual number of members, and they answer it
	LocalDegraded                      // it hears well below the usual number: part of the fleet may be cut off
	LocalIsolated                      // it hears almost no member: it is itself cut off
	LocalUnanswered                    // it hears other members, but none answers its probes
	LocalResumed                       // it has recently stalled, and its table may be out of date
	LocalFenced                        // a later process has its name
)

var localHealthNames = [...]string{"young", "sound", "thin", "cut-off", "unheard", "woken", "fenced"}

func (h LocalHealth) String() string { return localHealthNames[h] }

// CanDeclareGone reports whether a process with this health may declare other members gone.
func (h LocalHealth) CanDeclareGone() bool {
	return h == LocalLearning || h == LocalHealthy || h == LocalDegraded
}

const (
	// windowSlots is the number of slots of a window. The window advances by one slot at a time.
	windowSlots = 3
	// baselineWindows is the number of recent windows whose median is the baseline. Each window starts one slot after
	// the previous one.
	baselineWindows = 30
	// minBaselineWindows is the minimum number of recorded windows from which a baseline is computed.
	minBaselineWindows = 6
	// maxSenders limits the recorded senders of a slot, so that a flood of packets with made-up senders cannot fill
	// the memory. Further senders would add no information.
	maxSenders = 4096
)

// connectivityMonitor compares the number of members that this process hears with the baseline, the number that it
// usually hears. It is owned by the table, which reports to it each sender of a message and each answer to a probe of
// this process.
type connectivityMonitor struct {
	config        ConnectivityConfig
	slots         [windowSlots]map[string]struct{} // senders by slot of the window
	current       int                              // index of the slot that records senders now
	nextRotation  time.Duration                    // when the next slot begins
	history       []int                            // number of senders in each of the last windows, oldest first
	lowWindows    int                              // consecutive windows below DegradedBelow
	lowSince      time.Duration                    // when the first of the low windows ended
	silentWindows int                              // consecutive windows without any sender
	heardFraction float64                          // senders in the last window relative to the baseline, at most 1
	lastAck       time.Duration                    // when a probe of this process was last answered
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

// observeSender records the sender of a message.
func (m *connectivityMonitor) observeSender(sender string) {
	if slot := m.slots[m.current]; len(slot) < maxSenders {
		slot[sender] = struct{}{}
	}
}

// observeAck records an answer to a probe of this process.
func (m *connectivityMonitor) observeAck(now time.Duration) { m.lastAck = now }

// advance advances the window to now and evaluates each window that has ended. peers is the number of members that
// can be heard. After a stall of this process it skips the missed slots, in which the process itself received
// nothing.
func (m *connectivityMonitor) advance(now time.Duration, peers int, stalled bool) {
	if stalled {
		m.nextRotation = now + m.config.Window/windowSlots
		m.lastAck = now
		m.lowWindows = 0
		m.silentWindows = 0
		return
	}
	for ; now >= m.nextRotation; m.nextRotation += m.config.Window / windowSlots {
		m.evaluateWindow(m.countSenders(), peers, m.nextRotation)
		m.current = (m.current + 1) % windowSlots
		clear(m.slots[m.current])
	}
}

// countSenders returns the number of distinct senders in the current window.
func (m *connectivityMonitor) countSenders() int {
	senders := map[string]struct{}{}
	for _, slot := range m.slots {
		maps.Copy(senders, slot)
	}
	return len(senders)
}

// evaluateWindow compares heard, the number of senders in the window that ended at the time at, with the baseline.
func (m *connectivityMonitor) evaluateWindow(heard, peers int, at time.Duration) {
	m.silentWindows++
	if heard > 0 {
		m.silentWindows = 0
	}
	if len(m.history) < minBaselineWindows || peers == 0 {
		m.heardFraction = 1
		m.lowWindows = 0
		if peers > 0 && (heard > 0 || len(m.history) > 0) { // windows before the first message do not count
			m.recordWindow(heard)
		}
		return
	}
	// The baseline is capped at the number of peers, so that members that have left are not expected.
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
	if at-m.lowSince >= m.config.AdaptAfter { // start a new baseline
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

// baseline returns the usual number of senders in a window: the median of the recorded windows, or 0 if there are
// none.
func (m *connectivityMonitor) baseline() float64 {
	if len(m.history) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.history))
	return float64(sorted[len(sorted)/2])
}

// hearsNobody reports whether no member has been heard for two whole windows although there is a baseline.
func (m *connectivityMonitor) hearsNobody() bool {
	return m.silentWindows > 2*windowSlots && len(m.history) >= minBaselineWindows
}

// localHealth returns the health that follows from the received messages alone. Two consecutive windows, one slot
// apart, with almost no senders mean isolation. A window that is merely low may be so by chance; the process is
// degraded only once the windows have remained low for one more whole window.
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

// ObserveSender records the sender of any message.
func (t *Table) ObserveSender(sender string) { t.connectivity.observeSender(sender) }

// ObserveAck records an answer to a probe of this process.
func (t *Table) ObserveAck(now time.Duration) { t.connectivity.observeAck(now) }

// HearsNobody reports whether this process is cut off so completely that its reports about other members are
// meaningless and must not be sent.
func (t *Table) HearsNobody() bool { return t.connectivity.hearsNobody() }

// localHealth returns the current health of this process.
func (t *Table) localHealth(now time.Duration) LocalHealth {
	switch {
	case t.fenced:
		return LocalFenced
	case now < t.settlingUntil:
		return LocalResumed
	}
	return t.connectivity.localHealth(now, t.countPresentMembers())
}

// healthy reports whether this process is not itself a likely cause of the failure detector's reports.
func (t *Table) healthy(now time.Duration) bool {
	health := t.localHealth(now)
	return health == LocalHealthy || health == LocalLearning
}

// countPresentMembers returns the number of present members, which are those that can be heard.
func (t *Table) countPresentMembers() (count int) {
	for member := range allMembers(t.members) {
		if member.State.Present() {
			count++
		}
	}
	return count
}
