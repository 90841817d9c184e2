package admission

import (
	"fmt"
	"testing"
	"time"
)

// scarceCalls is a scenario with too few upstream calls for all runs, in which calls may be skipped.
type scarceCalls struct {
	cores     float64
	perCore   float64 // survivable runs per core
	share     float64 // share of the upstream
	warmingUp bool
}

// Calls are scarce and may be skipped: many requests wait for a call, and go on without it when their slack is used
// up. The runs must stay within the survivable number even if all calls end at once, for few and many cores, with
// and without warm-up. Calls and runs must make progress.
func TestScarceCallsSkipped(t *testing.T) {
	for _, cores := range []float64{1, 2, 4, 32} {
		for _, perCore := range []float64{2, 3, 8} {
			for _, warmingUp := range []bool{false, true} {
				for _, share := range []float64{2, 1e6} {
					scenario := scarceCalls{cores, perCore, share, warmingUp}
					t.Run(fmt.Sprintf("%+v", scenario), scenario.play)
				}
			}
		}
	}
}

func (c scarceCalls) play(t *testing.T) {
	s := newFixture(Settings{
		Cores:                 c.cores,
		SurvivableRunsPerCore: c.perCore,
		Upstream:              UpstreamShared,
		UpstreamShare:         c.share,
		UpstreamWindow:        5 * time.Second,
		MemoryKB:              4000 * c.cores,
		Classes:               withSkippedCallValue(0.8, 0),
		JustStarted:           c.warmingUp,
		WarmUp:                4 * time.Second,
		WarmUpSpeedShare:      0.05,
	})
	s.quiet = true
	arrived, calls, ends := 0, 0, 0
	for step := range 400 {
		s.now += 10 * ms
		var requests []Request
		for len(s.controller.requests.queue)+len(requests) < 12 {
			arrived++
			requests = append(requests, newRequest(fmt.Sprint("o", arrived), 10*ms, 0.9))
		}
		s.submit(requests...)
		ends += s.moveRunsThroughCalls(int(c.cores))
		for _, id := range s.awaitedCalls() { // a share of 2 allows one open call; otherwise calls end in batches
			if s.controller.requests.byID[id] != nil && (c.share <= 2 || step%7 == 0) {
				s.finishCall(id, Succeeded, 100*ms)
				calls++
			}
		}
		s.controller.Decide()
		running, open := len(s.controller.requests.running), s.controller.upstream.open
		if survivable := s.controller.survivableConcurrency(); float64(running+open) > survivable && running+open > 1 {
			t.Fatalf("%d runs on the cores and %d in calls, %.1f are survivable", running, open, survivable)
		}
	}
	if calls < 50 || ends < 50 { // with one call in each batch, 58 calls and 57 runs end
		t.Errorf("too little progress: %d calls and %d runs ended, want at least 50 of each", calls, ends)
	}
}

// moveRunsThroughCalls advances as many runs as there are cores: first to a call, then to their end. It returns the
// number of runs that ended.
func (s *fixture) moveRunsThroughCalls(cores int) int {
	ids, ends := s.runningIDs(), 0
	for _, id := range ids[:min(cores, len(ids))] {
		if onCall := s.onCall[id]; onCall != nil {
			delete(s.onCall, id)
			onCall()
		} else {
			s.onEnd[id](Succeeded, 10*ms)
			ends++
		}
	}
	s.controller.Decide()
	return ends
}
