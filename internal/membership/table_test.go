package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

// Under any order of few messages: numbers of a name don't go down, nobody is given up before the judged time is over, a view once
// given never changes, the table stays within its bounds, and nothing is believed past its time.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newHarness(func(t *Config) { t.MaxMembers = 4 })
		x.quiet = true
		names := []Name{"a", "b", "c", "d", "e"}
		highest := map[Name]Descriptor{}
		lostFor := map[ID]time.Duration{}
		view, digest, version := x.View(), x.View().Digest(), uint64(0)
		id := func() ID {
			return ID{rapid.SampledFrom(names).Draw(t, "name"), BootID(rapid.IntRange(1, 3).Draw(t, "life"))}
		}
		look := func(steps int) {
			for range steps {
				x.now += 100 * time.Millisecond
				if x.View().LocalHealth.CanDeclareGone() {
					for k := range lostFor {
						lostFor[k] += 100 * time.Millisecond
					}
				}
				x.Tick(x.now)
				for _, c := range x.TakeChanges() {
					if c.To == StateGone && c.Reason == ReasonTimedOut && lostFor[c.ID] < x.config.SuspectAfter+x.config.GoneAfter {
						t.Fatalf("%v given up after %v", c.ID, lostFor[c.ID])
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				i := id()
				if x.HandleAlive(Descriptor{Name: i.Name, BootID: i.BootID, Incarnation: Incarnation(rapid.IntRange(1, 4).Draw(t, "number"))}, x.now) == AliveAccepted {
					delete(lostFor, i)
				}
			},
			"lost": func(t *rapid.T) {
				i := id()
				if _, already := lostFor[i]; !already {
					if m, known := x.View().Get(i.Name); known && m.BootID == i.BootID {
						lostFor[i] = 0
					}
				}
				x.HandleUnreachable(i, rapid.Bool().Draw(t, "left"), x.now)
			},
			"told": func(t *rapid.T) {
				x.HandleHeartbeat(Heartbeat{ID: id(), Sequence: uint64(rapid.IntRange(1, 20).Draw(t, "seq")), Ready: rapid.Bool().Draw(t, "ready"),
					Draining: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, Metrics: []Metric{{"load", 1, time.Duration(rapid.IntRange(0, 100).Draw(t, "holds")) * s, 0}}},
					time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond, x.now)
			},
			"pass":  func(t *rapid.T) { look(rapid.IntRange(1, 40).Draw(t, "steps")) },
			"sleep": func(t *rapid.T) { x.stall(time.Duration(rapid.IntRange(1100, 30000).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				if view.Digest() != digest || x.View().Version < version || x.View().Len() > 4 {
					t.Fatal("a view changed, went back, or outgrew its bound")
				}
				view, digest, version = x.View(), x.View().Digest(), x.View().Version
				for n := range highest {
					if _, known := view.Get(n); !known {
						delete(highest, n) // forgotten
					}
				}
				for m := range view.All() {
					if m.olderThan(highest[m.Name]) {
						t.Fatal("a number went down")
					}
					highest[m.Name] = m.Descriptor
					if _, age, ok := m.Metric("load", x.now); ok && age > x.maxMetricTTL() {
						t.Fatal("believed for too long")
					}
				}
			},
		})
	})
}

// A view of 1,000 members in simulated time: five minutes in which each publishes, a tenth dies, a tenth is replaced.
func TestThousand(t *testing.T) {
	x := newHarness(func(t *Config) { t.MaxMembers = 1200 })
	x.quiet = true
	var names []Name
	for i := range 1000 {
		names = append(names, Name(fmt.Sprint("n", i)))
	}
	x.bringUp(names...)
	for step := range 300 {
		for i := step % 33; i < len(names); i += 33 {
			m, _ := x.View().Get(names[i])
			if m.unreachable {
				continue
			}
			x.heartbeat(names[i], m.BootID, m.Sequence+1, 0)
		}
		if step == 100 {
			for i, n := range names {
				switch i % 10 {
				case 0:
					x.HandleUnreachable(ID{n, 7}, false, x.now)
				case 1:
					x.alive(n, 8, 2)
					x.heartbeat(n, 8, 1, 0)
				}
			}
		}
		x.advance(s)
	}
	if v := x.View(); v.Count(StateUp) != 900 || v.Count(StateGone) != 100 || x.HeartbeatInterval() < 33*s {
		t.Fatal(v.Count(StateUp), v.Count(StateGone), x.HeartbeatInterval())
	}
}
