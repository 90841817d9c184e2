package admission

import (
	"fmt"
	"testing"
	"time"
)

// Calls are scarce and may be left out: many ops wait for one, and go on without it when their slack is spent. On few cores and many, warm and cold,
// what runs stays under what is survived, also if all that is in a call comes back at once; and calls and runs go on.
func TestScarceCallsSkipped(t *testing.T) {
	for _, cores := range []float64{1, 2, 4, 32} {
		for _, crowd := range []float64{2, 3, 8} {
			for _, cold := range []bool{false, true} {
				for _, share := range []float64{2, 1e6} {
					s := newFixture(Settings{Cores: cores, SurvivableRunsPerCore: crowd, Upstream: UpstreamShared, UpstreamShare: share, UpstreamWindow: 5 * time.Second, MemoryKB: 4000 * cores,
						Classes: withSkippedCallValue(0.8, 0), JustStarted: cold, WarmUp: 4 * time.Second, WarmUpSpeedShare: 0.05})
					s.quiet = true
					n, calls, ends := 0, 0, 0
					for step := range 400 {
						s.now += 10 * ms
						var in []Request
						for len(s.controller.requests.queue)+len(in) < 12 {
							n++
							in = append(in, newRequest(fmt.Sprint("o", n), 10*ms, 0.9))
						}
						s.submit(in...)
						var on []RequestID
						for _, o := range s.controller.requests.running {
							on = append(on, o.ID)
						}
						for i, id := range on { // as many as there are cores move on: to a call, and behind it, or what is left out, to their end
							if i >= int(cores) {
								break
							}
							if at := s.onCall[id]; at != nil {
								delete(s.onCall, id)
								at()
							} else {
								s.onEnd[id](Succeeded, 10*ms)
								ends++
							}
						}
						s.controller.Decide()
						for id, done := range s.onCallDone { // each call takes a while, and with little below comes back alone
							if o := s.controller.requests.byID[id]; o != nil && (share <= 2 || step%7 == 0) {
								delete(s.onCallDone, id)
								done(Succeeded, 100*ms)
								calls++
							}
						}
						s.controller.Decide()
						survived := s.controller.survivableConcurrency()
						if most := float64(len(s.controller.requests.running) + s.controller.upstream.open); most > survived && most > 1 {
							t.Fatalf("%v cores, %v a core, cold %v, share %v: %d run and %d are in a call, %.1f are survived", cores, crowd, cold, share, len(s.controller.requests.running), s.controller.upstream.open, survived)
						}
					}
					if calls < 50 || ends < 50 { // one call at a time comes back 57 times
						t.Errorf("%v cores, %v a core, cold %v, share %v: it stands: %d calls, %d ends", cores, crowd, cold, share, calls, ends)
					}
				}
			}
		}
	}
}
