package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The limit floors at the cores, grows by one while cores idle and work waits, once for each ending, falls
// back when more than the cores is wanted, and stays under the survivable crowd.
func Example_concurrencyLimit() {
	s := newFixture(Settings{})
	s.warmUp(100 * ms)
	fmt.Println("limit", s.controller.concurrencyLimit(s.now))
	s.submit(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1), newRequest("c", 100*ms, 0.1),
		newRequest("d", 100*ms, 0.1))
	s.advance(50*ms, Gauges{GaugeRunnable: 1}) // one of the two waits on disk
	fmt.Println("limit", s.controller.concurrencyLimit(s.now))
	s.advance(50*ms, Gauges{GaugeRunnable: 1})
	s.finish(Succeeded, 100*ms, "a")
	s.advance(300*ms, Gauges{GaugeRunnable: 4})
	fmt.Println("limit", s.controller.concurrencyLimit(s.now))
	cold := newFixture(Settings{JustStarted: true, WarmUp: 10 * time.Second, WarmUpSpeedShare: 0.25})
	fmt.Println("crowd survived warm", s.controller.concurrencyCeiling(), "cold", cold.controller.concurrencyCeiling())
	// Output:
	// limit 2
	// 1600ms start a
	// 1600ms start b
	// 1602ms start c
	// 1650ms start d
	// limit 4
	// limit 3
	// crowd survived warm 12 cold 4
}

// Calls that take long and come back all at once, while ops come without end: what is on the cores stays under what is survived, on few cores and
// many, with a low multiple and a high one; and the cores are kept at work.
func TestCallsReturnTogether(t *testing.T) {
	for _, cores := range []float64{1, 4} {
		for _, crowd := range []float64{2, 3, 4, 8} {
			s := newFixture(Settings{Cores: cores, SurvivableRunsPerCore: crowd, Upstream: UpstreamShared, UpstreamShare: 100.0, UpstreamWindow: 5 * time.Second, MemoryKB: 1e6})
			s.quiet = true
			chance, n := s.controller.random.float64, 0
			var inCall []RequestID
			most := 0
			for step := range 400 {
				s.now += 2 * ms
				var in []Request
				for len(s.controller.requests.queue) < 12 && len(in) < 4 {
					n++
					in = append(in, newRequest(fmt.Sprint("o", n), 10*ms, 0.9))
				}
				s.submit(in...)
				var on []RequestID
				for _, o := range s.controller.requests.running {
					on = append(on, o.ID)
				}
				for i, id := range on { // as many as there are cores move on: half of them to a call, the others to their end
					if i >= int(cores) {
						break
					}
					if at := s.onCall[id]; at != nil && chance() < 0.5 {
						delete(s.onCall, id)
						at()
					} else {
						s.onEnd[id](Succeeded, 10*ms)
						delete(s.onEnd, id)
					}
				}
				s.controller.Decide()
				for id := range s.onCallDone {
					if !slices.Contains(inCall, id) {
						inCall = append(inCall, id)
					}
				}
				if step%50 == 49 { // what is below comes back
					for _, id := range inCall {
						if done := s.onCallDone[id]; done != nil {
							delete(s.onCallDone, id)
							done(Succeeded, 100*ms)
						}
					}
					inCall = nil
				}
				s.controller.Decide()
				s.controller.recordGauges(Gauges{GaugeRunnable: 0.5, GaugeBusyCores: 0.5}) // idle cores let it grow
				most = max(most, len(s.controller.requests.running))
			}
			if float64(most) > cores*crowd || float64(most) < cores {
				t.Errorf("%v cores, %v survived: %d ran", cores, cores*crowd, most)
			}
		}
	}
}
