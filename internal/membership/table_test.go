package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

// tableMachine applies random messages to a table and checks its invariants.
type tableMachine struct {
	*tableHarness
	names          []Name
	newest         map[Name]Descriptor  // the newest descriptor seen for each name
	unreachableFor map[ID]time.Duration // how long each process has been unreachable while members could be declared gone
	view           *View                // the last published view
	digest         uint64               // digest of view when it was published
}

func newTableMachine() *tableMachine {
	machine := &tableMachine{
		tableHarness:   newHarness(func(config *Config) { config.MaxMembers = 4 }),
		names:          []Name{"a", "b", "c", "d", "e"},
		newest:         map[Name]Descriptor{},
		unreachableFor: map[ID]time.Duration{},
	}
	machine.quiet = true
	machine.view = machine.View()
	machine.digest = machine.view.Digest()
	return machine
}

func (m *tableMachine) drawID(t *rapid.T) ID {
	return ID{rapid.SampledFrom(m.names).Draw(t, "name"), BootID(rapid.IntRange(1, 3).Draw(t, "boot ID"))}
}

func (m *tableMachine) receiveDescriptor(t *rapid.T) {
	id := m.drawID(t)
	incarnation := Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation"))
	if m.HandleAlive(Descriptor{Name: id.Name, BootID: id.BootID, Incarnation: incarnation}, m.now) == AliveAccepted {
		delete(m.unreachableFor, id)
	}
}

func (m *tableMachine) reportLeftOrUnreachable(t *rapid.T) {
	id := m.drawID(t)
	if _, already := m.unreachableFor[id]; !already {
		if member, found := m.View().Get(id.Name); found && member.BootID == id.BootID {
			m.unreachableFor[id] = 0
		}
	}
	if rapid.Bool().Draw(t, "left") {
		m.HandleLeft(id, m.now)
	} else {
		m.HandleUnreachable(id, m.now)
	}
}

func (m *tableMachine) receiveHeartbeat(t *rapid.T) {
	heartbeat := Heartbeat{
		ID:       m.drawID(t),
		Sequence: uint64(rapid.IntRange(1, 20).Draw(t, "sequence")),
		Ready:    rapid.Bool().Draw(t, "ready"),
		Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
		Metrics:  []Metric{{Name: "load", Value: 1, TTL: time.Duration(rapid.IntRange(0, 100).Draw(t, "TTL")) * s}},
	}
	age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
	m.HandleHeartbeat(heartbeat, age, m.now)
}

func (m *tableMachine) passTime(t *rapid.T) {
	const step = 100 * time.Millisecond
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		m.now += step
		if m.View().LocalHealth.CanDeclareGone() {
			for id := range m.unreachableFor {
				m.unreachableFor[id] += step
			}
		}
		m.Tick(m.now)
		for _, change := range m.TakeChanges() {
			timedOut := change.To == StateGone && change.Reason == ReasonTimedOut
			if timedOut && m.unreachableFor[change.ID] < m.config.SuspectAfter+m.config.GoneAfter {
				t.Fatalf("%v was declared gone after being unreachable for only %v", change.ID, m.unreachableFor[change.ID])
			}
		}
	}
}

func (m *tableMachine) stallProcess(t *rapid.T) {
	m.stall(time.Duration(rapid.IntRange(1100, 30000).Draw(t, "ms")) * time.Millisecond)
}

func (m *tableMachine) check(t *rapid.T) {
	if m.view.Digest() != m.digest || m.View().Version < m.view.Version || m.View().Len() > m.config.MaxMembers {
		t.Fatal("a published view changed, the version decreased, or the table exceeded MaxMembers")
	}
	m.view = m.View()
	m.digest = m.view.Digest()
	for name := range m.newest {
		if _, found := m.view.Get(name); !found {
			delete(m.newest, name) // evicted
		}
	}
	for member := range m.view.All() {
		if member.olderThan(m.newest[member.Name]) {
			t.Fatal("an incarnation decreased")
		}
		m.newest[member.Name] = member.Descriptor
		if _, age, ok := member.Metric("load", m.now); ok && age > m.maxMetricTTL() {
			t.Fatal("a metric is valid beyond the maximum TTL")
		}
	}
}

// Invariants under any order of a few messages: the incarnation of a name does not decrease; no member is declared gone
// before its deadline, which counts only the time in which this process can declare members gone; a published view
// never changes; the table stays within MaxMembers; and no metric is valid beyond the maximum TTL.
func TestMessagesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newTableMachine()
		t.Repeat(map[string]func(*rapid.T){
			"descriptor":          machine.receiveDescriptor,
			"heartbeat":           machine.receiveHeartbeat,
			"left or unreachable": machine.reportLeftOrUnreachable,
			"pass time":           machine.passTime,
			"stall":               machine.stallProcess,
			"":                    machine.check,
		})
	})
}

// A fleet of 1,000 members in five minutes of simulated time: each member publishes, a tenth of them fails, and another
// tenth is replaced.
func TestThousandMembers(t *testing.T) {
	h := newHarness(func(config *Config) { config.MaxMembers = 1200 })
	h.quiet = true
	var names []Name
	for i := range 1000 {
		names = append(names, Name(fmt.Sprint("n", i)))
	}
	h.bringUp(names...)
	for step := range 300 {
		for i := step % 33; i < len(names); i += 33 {
			m, _ := h.View().Get(names[i])
			if m.reachability.unreachable {
				continue
			}
			h.heartbeat(names[i], m.BootID, m.Sequence+1)
		}
		if step == 100 {
			for i, n := range names {
				switch i % 10 {
				case 0:
					h.HandleUnreachable(ID{n, 7}, h.now)
				case 1:
					h.alive(n, 8, 2)
					h.heartbeat(n, 8, 1)
				}
			}
		}
		h.advance(s)
	}
	if v := h.View(); v.Count(StateUp) != 900 || v.Count(StateGone) != 100 || h.HeartbeatInterval() < 33*s {
		t.Fatal(v.Count(StateUp), v.Count(StateGone), h.HeartbeatInterval())
	}
}
