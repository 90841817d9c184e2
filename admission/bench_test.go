package admission

import (
	"fmt"
	"testing"
	"time"
)

// What one op costs the module while so many are held and the cores are busy: one comes, one ends, one starts. Targets are long,
// so nothing is weeded out.
//
//	go test -run xxx -bench Held ./admission
func BenchmarkHeld(b *testing.B) {
	for _, held := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			long := ClassSettings{Name: "low", Weight: 1.0, LatencyObjective: 1e6 * time.Second, Timeout: 3e6 * time.Second, Idempotency: Idempotent}
			s := newFixture(Settings{Classes: []ClassSettings{long}, MemoryKB: 1e12, Cores: 4.0})
			s.quiet = true
			n := 0
			add := func() {
				n++
				s.controller.Submit(Request{ID: RequestID(fmt.Sprint(n)), Class: "low", WorkHint: 10 * time.Millisecond, Rank: 0.1, MemoryKB: 1})
			}
			end := func(most int) {
				for id, done := range s.onEnd {
					delete(s.onEnd, id)
					done(Succeeded, 10*time.Millisecond)
					if most--; most == 0 {
						break
					}
				}
			}
			for range 64 {
				add()
				s.controller.Decide()
				s.now += 10 * time.Millisecond
				end(-1)
				s.controller.Decide()
			}
			for range held {
				add()
			}
			s.controller.Decide()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.now += time.Millisecond
				add()
				end(1)
				s.timers = s.timers[:0]
				s.controller.Decide()
			}
		})
	}
}
