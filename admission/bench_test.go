package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHeld measures the cost of one request for a number of queued requests while the cores are busy: one
// request arrives, one run ends and one run starts. Objectives are long, so that no request is shed.
//
//	go test -run xxx -bench Held ./admission
func BenchmarkHeld(b *testing.B) {
	for _, queued := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) { benchmarkQueued(b, queued) })
	}
}

func benchmarkQueued(b *testing.B, queued int) {
	patient := ClassSettings{
		Name:             "low",
		Weight:           1,
		LatencyObjective: 1e6 * time.Second,
		Timeout:          3e6 * time.Second,
		Idempotency:      Idempotent,
	}
	s := newFixture(Settings{Classes: []ClassSettings{patient}, MemoryKB: 1e12, Cores: 4})
	s.quiet = true
	n := 0
	submit := func() {
		n++
		id := RequestID(fmt.Sprint(n))
		s.controller.Submit(Request{ID: id, Class: "low", WorkHint: 10 * ms, Rank: 0.1, MemoryKB: 1})
	}
	finish := func(most int) {
		for id, onEnd := range s.onEnd {
			delete(s.onEnd, id)
			onEnd(Succeeded, 10*ms)
			if most--; most == 0 {
				break
			}
		}
	}
	for range 64 {
		submit()
		s.controller.Decide()
		s.now += 10 * ms
		finish(-1)
		s.controller.Decide()
	}
	for range queued {
		submit()
	}
	s.controller.Decide()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.now += ms
		submit()
		finish(1)
		s.timers = s.timers[:0]
		s.controller.Decide()
	}
}
