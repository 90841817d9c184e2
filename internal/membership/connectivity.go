package membership

import (
	"maps"
	"slices"
	"time"
)

// LocalHealth describes how far a process may trust its observations of other members. Its names are shown on status
// sockets.
type LocalHealth uint8

// The values of LocalHealth.
const (
	LocalLearning   LocalHealth = iota // it has not listened for long enough to have a baseline
	LocalHealthy                       // it receives messages and acks as usual
	LocalDegraded                      // it hears far fewer members than usual: part of the fleet may be cut off from it
	LocalIsolated                      // it hears almost no members: it is cut off itself
	LocalUnanswered                    // it hears other members, but none answers its probes
	LocalResumed                       // it has just resumed after a stall, and its view may be out of date
	LocalFenced                        // a later process has taken its name
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
	// baselineWindows is the maximum number of recorded windows. Their median is the baseline. Each window starts one
	// slot after the previous one.
	baselineWindows = 30
	// minBaselineWindows is the minimum number of recorded windows for a baseline.
	minBaselineWindows = 6
	// maxSenders is the maximum number of senders recorded per slot. A flood of packets with made-up senders must not
	// fill the memory, and further senders would not change the result.
	maxSenders = 4096
)

// connectivityMonitor compares the number of members that this process hears with the usual number. It belongs to the
// table, which reports the sender of each message and each ack to a probe of this process.
type connectivityMonitor struct {
	config        ConnectivityConfig
	slots         [windowSlots]map[string]struct{} // distinct senders in each slot of the window
	currentSlot   int                              // index of the slot that records new senders
	nextRotation  time.Duration                    // when the next slot begins
	history       []int                            // number of senders in each of the last windows, oldest first
	lowWindows    int                              // consecutive windows with a heard fraction below DegradedBelow
	lowSince      time.Duration                    // when the first of the low windows ended
	silentWindows int                              // consecutive windows without any sender
	heardFraction float64                          // senders heard as a fraction of the baseline, at most 1
	lastAck       time.Duration                    // when a probe of this process was last acked
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
	if slot := m.slots[m.currentSlot]; len(slot) < maxSenders {
		slot[sender] = struct{}{}
	}
}

// observeAck records an ack to a probe of this process.
func (m *connectivityMonitor) observeAck(now time.Duration) { m.lastAck = now }

// advance evaluates each window that has ended by now. peers is the number of present members. After a stall, the
// slots that have ended meanwhile are skipped: they are empty because this process did not run.
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

// evaluateWindow compares the number of senders heard in the window that ended at endedAt with the baseline.
func (m *connectivityMonitor) evaluateWindow(heard, peers int, endedAt time.Duration) {
	m.silentWindows++
	if heard > 0 {
		m.silentWindows = 0
	}
	if len(m.history) < minBaselineWindows || peers == 0 {
		m.heardFraction = 1
		m.lowWindows = 0
		if peers > 0 && (heard > 0 || len(m.history) > 0) { // windows before the first message are not typical
			m.recordWindow(heard)
		}
		return
	}
	// The baseline is limited to the number of present members, so that members that left are not missed.
	m.heardFraction = min(1, float64(heard)/max(1, min(m.baseline(), float64(peers))))
	if m.heardFraction >= m.config.DegradedBelow {
		m.lowWindows = 0
		m.recordWindow(heard)
		return
	}
	m.lowWindows++
	if m.lowWindows == 1 {
		m.lowSince = endedAt
	}
	if endedAt-m.lowSince >= m.config.AdaptAfter { // collect a new baseline
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

// baseline returns the usual number of senders in a window: the median of the recorded windows, or 0 without any.
func (m *connectivityMonitor) baseline() float64 {
	if len(m.history) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.history))
	return float64(sorted[len(sorted)/2])
}

// hearsNobody reports whether the window has been empty for more than two window lengths although there is a baseline.
func (m *connectivityMonitor) hearsNobody() bool {
	return m.silentWindows > 2*windowSlots && len(m.history) >= minBaselineWindows
}

// localHealth returns the health that follows from received messages and acks alone. The process is isolated after two
// consecutive low windows, one slot apart, if the last one has almost no senders. A window that is merely low may be so
// by chance, so the process is degraded only when the following windows stay low for a whole window length.
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

// ObserveSender records the sender of a message of any kind.
func (t *Table) ObserveSender(sender string) { t.connectivity.observeSender(sender) }

// ObserveAck records an ack to a probe of this process.
func (t *Table) ObserveAck(now time.Duration) { t.connectivity.observeAck(now) }

// HearsNobody reports whether this process has heard no member for so long that its reports about others are worthless
// and must not be sent.
func (t *Table) HearsNobody() bool { return t.connectivity.hearsNobody() }

// localHealth returns the health of this process.
func (t *Table) localHealth(now time.Duration) LocalHealth {
	switch {
	case t.fenced:
		return LocalFenced
	case now < t.settlingUntil:
		return LocalResumed
	}
	return t.connectivity.localHealth(now, t.countPresentMembers())
}

// locallyHealthy reports whether this process is healthy or still learning. Otherwise, a fault of its own may be the
// cause of the failure detector's reports.
func (t *Table) locallyHealthy(now time.Duration) bool {
	health := t.localHealth(now)
	return health == LocalHealthy || health == LocalLearning
}

// countPresentMembers returns the number of members that this process can expect to hear.
func (t *Table) countPresentMembers() (count int) {
	for member := range allMembers(t.members) {
		if member.State.Present() {
			count++
		}
	}
	return count
}
