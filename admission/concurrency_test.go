package admission

import (
	"fmt"
	"testing"
	"time"
)

// The limit is at least the number of cores. While cores are idle and requests wait, it grows by one for each
// completion. It decreases when more runs than cores are runnable, and stays below the survivable number of runs.
func Example_concurrencyLimit() {
	s := newFixture(Settings{})
	s.warmUp(100 * ms)
	fmt.Println("limit", s.controller.concurrencyLimit(s.now))
	s.submit(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1), newRequest("c", 100*ms, 0.1),
		newRequest("d", 100*ms, 0.1))
	s.advance(50*ms, Gauges{GaugeRunnable: 1}) // one of the two waits for the disk
	fmt.Println("limit", s.controller.concurrencyLimit(s.now))
	s.advance(50*ms, Gauges{GaugeRunnable: 1})
	s.finish(Succeeded, 100*ms, "a")
	s.advance(300*ms, Gauges{GaugeRunnable: 4})
	fmt.Println("limit", s.controller.concurrencyLimit(s.now))
	warm := s.controller.concurrencyCeiling()
	warmingUp := newFixture(Settings{JustStarted: true, WarmUp: 10 * time.Second, WarmUpSpeedShare: 0.25})
	fmt.Println("ceiling", warm, "warming up", warmingUp.controller.concurrencyCeiling())
	// Output:
	// limit 2
	// 1600ms start a
	// 1600ms start b
	// 1602ms start c
	// 1650ms start d
	// limit 4
	// limit 3
	// ceiling 12 warming up 4
}

// Calls take long and all end at once, while requests keep arriving. The runs on the cores must stay within the
// survivable number, for few and many cores and for low and high numbers of runs per core. The cores must be kept
// busy.
func TestCallsReturnTogether(t *testing.T) {
	for _, cores := range []float64{1, 4} {
		for _, perCore := range []float64{2, 3, 4, 8} {
			t.Run(fmt.Sprintf("%v cores, %v runs per core", cores, perCore), func(t *testing.T) {
				maxRunning := playCallsReturnTogether(cores, perCore)
				if float64(maxRunning) > cores*perCore || float64(maxRunning) < cores {
					t.Errorf("highest number of runs on the cores is %d, want %v to %v", maxRunning, cores, cores*perCore)
				}
			})
		}
	}
}

// playCallsReturnTogether returns the highest number of runs that were on the cores at once.
func playCallsReturnTogether(cores, perCore float64) int {
	s := newFixture(Settings{
		Cores:                 cores,
		SurvivableRunsPerCore: perCore,
		Upstream:              UpstreamShared,
		UpstreamShare:         100,
		UpstreamWindow:        5 * time.Second,
		MemoryKB:              1e6,
	})
	s.quiet = true
	arrived, maxRunning := 0, 0
	for step := range 400 {
		s.now += 2 * ms
		var requests []Request
		for len(s.controller.requests.queue) < 12 && len(requests) < 4 {
			arrived++
			requests = append(requests, newRequest(fmt.Sprint("o", arrived), 10*ms, 0.9))
		}
		s.submit(requests...)
		s.moveRuns(int(cores))
		if step%50 == 49 { // the upstream recovers
			for _, id := range s.awaitedCalls() {
				s.finishCall(id, Succeeded, 100*ms)
			}
		}
		s.controller.Decide()
		s.controller.recordGauges(Gauges{GaugeRunnable: 0.5, GaugeBusyCores: 0.5}) // idle cores let the limit grow
		maxRunning = max(maxRunning, len(s.controller.requests.running))
	}
	return maxRunning
}

// moveRuns advances as many runs as there are cores. A run that can still reach a call does so with a probability of
// one half. The other runs end.
func (s *fixture) moveRuns(cores int) {
	ids := s.runningIDs()
	for _, id := range ids[:min(cores, len(ids))] {
		if onCall := s.onCall[id]; onCall != nil && s.controller.random.float64() < 0.5 {
			delete(s.onCall, id)
			onCall()
		} else {
			s.onEnd[id](Succeeded, 10*ms)
			delete(s.onEnd, id)
		}
	}
	s.controller.Decide()
}
