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
	s := open(Settings{})
	s.warm(100 * ms)
	fmt.Println("limit", s.desk.concurrencyLimit(s.now))
	s.read(newRequest("a", 100*ms, 0.1), newRequest("b", 100*ms, 0.1), newRequest("c", 100*ms, 0.1),
		newRequest("d", 100*ms, 0.1))
	s.pass(50*ms, Gauges{GaugeRunnable: 1}) // one of the two waits on disk
	fmt.Println("limit", s.desk.concurrencyLimit(s.now))
	s.pass(50*ms, Gauges{GaugeRunnable: 1})
	s.end(Succeeded, 100*ms, "a")
	s.pass(300*ms, Gauges{GaugeRunnable: 4})
	fmt.Println("limit", s.desk.concurrencyLimit(s.now))
	cold := open(Settings{JustStarted: true, WarmUp: 10 * time.Second, WarmUpSpeedShare: 0.25})
	fmt.Println("crowd survived warm", s.desk.concurrencyCeiling(), "cold", cold.desk.concurrencyCeiling())
	// Output:
	// limit 2
	// 1600ms run a
	// 1600ms run b
	// 1602ms run c
	// 1650ms run d
	// limit 4
	// limit 3
	// crowd survived warm 12 cold 4
}

// Calls that take long and come back all at once, while ops come without end: what is on the cores stays under what is survived, on few cores and
// many, with a low multiple and a high one; and the cores are kept at work.
func TestCallsReturnTogether(t *testing.T) {
	for _, cores := range []float64{1, 4} {
		for _, crowd := range []float64{2, 3, 4, 8} {
			s := open(Settings{Cores: cores, SurvivableRunsPerCore: crowd, Upstream: UpstreamShared, UpstreamShare: 100.0, UpstreamWindow: 5 * time.Second, MemoryKB: 1e6})
			s.quiet = true
			chance, n := s.desk.random.float64, 0
			var inCall []RequestID
			most := 0
			for step := range 400 {
				s.now += 2 * ms
				var in []Request
				for len(s.desk.requests.queue) < 12 && len(in) < 4 {
					n++
					in = append(in, newRequest(fmt.Sprint("o", n), 10*ms, 0.9))
				}
				s.read(in...)
				var on []RequestID
				for _, o := range s.desk.requests.running {
					on = append(on, o.ID)
				}
				for i, id := range on { // as many as there are cores move on: half of them to a call, the others to their end
					if i >= int(cores) {
						break
					}
					if at := s.atCall[id]; at != nil && chance() < 0.5 {
						delete(s.atCall, id)
						at()
					} else {
						s.ended[id](Succeeded, 10*ms)
						delete(s.ended, id)
					}
				}
				s.desk.Decide()
				for id := range s.called {
					if !slices.Contains(inCall, id) {
						inCall = append(inCall, id)
					}
				}
				if step%50 == 49 { // what is below comes back
					for _, id := range inCall {
						if done := s.called[id]; done != nil {
							delete(s.called, id)
							done(Succeeded, 100*ms)
						}
					}
					inCall = nil
				}
				s.desk.Decide()
				s.desk.recordGauges(Gauges{GaugeRunnable: 0.5, GaugeBusyCores: 0.5}) // idle cores let it grow
				most = max(most, len(s.desk.requests.running))
			}
			if float64(most) > cores*crowd || float64(most) < cores {
				t.Errorf("%v cores, %v survived: %d ran", cores, cores*crowd, most)
			}
		}
	}
}
