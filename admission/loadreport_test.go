package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Requests arrive that have waited unread for long. The load report decreases. Once this lasts, callers of rejected
// requests are asked not to try another instance.
func Example_queueDelay() {
	s := newFixture(Settings{LoadSignal: LoadSignalChance})
	s.warmUp(200 * ms)
	for i := range 12 {
		late := newRequest(fmt.Sprint("s", i), 400*ms, 0.1)
		late.QueueDelay = 450 * ms
		s.quiet = i > 0 && i < 11
		s.submit(late)
		s.advance(50*ms, Gauges{GaugeRunnable: 4})
	}
	// Output:
	// 3200ms start s0
	// 3200ms load 0.20
	// 3750ms reject s11, no failover
}

// The tokens of a caller are a probability if callers rarely have two requests on this instance.
func Example_tokens() {
	for _, callers := range []int{2, 40} {
		s := newFixture(Settings{LoadSignal: LoadSignalTokens})
		s.warmUp(200 * ms)
		s.quiet = true
		for i := range 60 {
			a := newRequest(fmt.Sprint("r", i), 300*ms, 0.1)
			a.Caller = CallerID(i % callers)
			s.submit(a)
			s.now += 20 * ms
		}
		fmt.Printf("%d callers: acceptance %.2f, tokens %.2f\n",
			callers, s.controller.acceptance(), s.controller.publishedLoad)
	}
	// Output:
	// 2 callers: acceptance 0.14, tokens 0.50
	// 40 callers: acceptance 0.14, tokens 0.15
}

// The least rank applies from the first report of an instance that warms up: no request has arrived yet, and
// three tenths of the ranks are accepted.
func Example_warmUpRank() {
	s := newFixture(Settings{
		LoadSignal:       LoadSignalLeastRank,
		JustStarted:      true,
		WarmUp:           10 * time.Second,
		WarmUpSpeedShare: 0.3,
	})
	s.controller.Decide()
	warm := newFixture(Settings{LoadSignal: LoadSignalLeastRank})
	warm.controller.Decide()
	// Output:
	// 0ms load 0.70
	// 0ms load 0.00
}

// The tokens of an instance that warms up, summed over all callers that may use them, stay within its capacity plus
// random variation. This holds from the first report, for 1 to 300 callers of which it has seen none, some or all.
func TestWarmUpTokens(t *testing.T) {
	for callers := 1; callers <= 300; callers++ {
		for _, seen := range []int{0, 1, callers / 2, callers} {
			checkWarmUpTokens(t, callers, seen)
		}
	}
}

func checkWarmUpTokens(t *testing.T, callers, seen int) {
	t.Helper()
	const (
		objective = time.Second
		tolerance = 2 * time.Second
	)
	s := newFixture(Settings{
		LoadSignal:        LoadSignalTokens,
		Callers:           float64(callers),
		JustStarted:       true,
		WarmUp:            10 * time.Second,
		WarmUpSpeedShare:  0.3,
		OverloadTolerance: tolerance,
	})
	s.quiet = true
	for i := range seen {
		r := newRequest(fmt.Sprint("a", i), 10*ms, 0.9)
		r.Caller = CallerID(i)
		s.submit(r)
		s.now += ms
		s.finish(Succeeded, 10*ms, r.ID)
	}
	s.controller.Decide()
	// The work that two cores complete in the time. Without samples, a request counts as an eighth of an objective.
	work := objective / 8
	if seen > 0 {
		work = 10 * ms
	}
	allowed := 2 * s.controller.slowStart.speedShare(s.now) * float64(tolerance) / float64(work)
	invited := float64(callers) * s.controller.publishedLoad
	if invited > allowed+2*math.Sqrt(allowed+2) || invited <= 0 {
		t.Fatalf("%d callers, %d seen: %.1f requests invited, %.1f allowed", callers, seen, invited, allowed)
	}
}
