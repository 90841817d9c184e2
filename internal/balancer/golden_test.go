package balancer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lanewheel/internal/goldentest"
)

// TestGoldenSubsets checks that Subsets returns the same subsets as earlier versions. Each process computes the subsets
// on its own, and processes of different versions must agree.
func TestGoldenSubsets(t *testing.T) {
	var text bytes.Buffer
	for _, test := range [][3]int{{3, 10, 4}, {12, 60, 15}, {7, 5, 2}, {2, 3, 3}} {
		clients, endpoints := makeNames("relay-", test[0]), makeNames("instance-", test[1])
		subsets := Subsets(clients, endpoints, test[2])
		for _, client := range clients {
			fmt.Fprint(&text, test, " ", client, ":")
			for _, endpoint := range slices.Sorted(slices.Values(subsets[client])) {
				fmt.Fprint(&text, " ", endpoint[len("instance-"):])
			}
			fmt.Fprintln(&text)
		}
	}
	goldentest.CheckText(t, "testdata/subsets.txt", text.Bytes())
}

// decisionLog replays a random history to a balancer and records each of its decisions as a letter and a number.
type decisionLog struct {
	random    *rand.Rand
	balancer  *Balancer
	spillover *SpilloverPolicy
	endpoints []Endpoint
	now       time.Duration
	text      bytes.Buffer
}

func newDecisionLog(config Config, spillover SpilloverConfig, seed uint64) *decisionLog {
	balancer := New(config)
	l := &decisionLog{
		random:    rand.New(rand.NewPCG(seed, 5)),
		balancer:  balancer,
		spillover: NewSpilloverPolicy(spillover, balancer),
		now:       time.Second,
	}
	for i := range 12 {
		l.endpoints = append(l.endpoints, Endpoint{
			Name:     EndpointName(fmt.Sprint("m", i)),
			Zone:     []string{"a", "b"}[i%2],
			Capacity: float64(1 + i%3),
		})
	}
	balancer.SetEndpoints(l.now, l.endpoints[:10])
	return l
}

// drawMilliseconds draws a duration of whole milliseconds below limit.
func (l *decisionLog) drawMilliseconds(limit int) time.Duration {
	return time.Duration(l.random.IntN(limit)) * time.Millisecond
}

func (l *decisionLog) run(steps int) string {
	for step := range steps {
		l.now += l.drawMilliseconds(40)
		l.changeEndpoints(step, steps)
		index, ok := l.balancer.Pick(l.now, l.random.Float64, func(index int) bool { return index == step%7 })
		fmt.Fprint(&l.text, "p", index)
		if !ok {
			fmt.Fprint(&l.text, "!")
			continue
		}
		l.balancer.RecordStart(l.now, index)
		name := l.balancer.NameAt(index)
		l.report(step)
		l.spill(step)
		l.finish(step, steps, name)
		if step%10 == 9 {
			fmt.Fprintln(&l.text)
		}
	}
	fmt.Fprintln(&l.text, "most looked bad", l.balancer.panicCount)
	return l.text.String()
}

// changeEndpoints adds two endpoints that are warming up and makes another one a suspect. Later it removes an endpoint,
// and the suspect is reachable again.
func (l *decisionLog) changeEndpoints(step, steps int) {
	switch step {
	case steps / 4:
		l.endpoints[10].WarmUpRemaining, l.endpoints[10].WarmUp = 5*time.Second, 8*time.Second
		l.endpoints[11].WarmUpRemaining, l.endpoints[11].WarmUp = 3*time.Second, 3*time.Second
		l.endpoints[1].Suspect = true
		l.balancer.SetEndpoints(l.now, l.endpoints)
	case steps / 2:
		l.endpoints[1].Suspect = false
		l.balancer.SetEndpoints(l.now, l.endpoints[1:])
	}
}

// report probes an endpoint, and in every third step records a load report of a random one.
func (l *decisionLog) report(step int) {
	if index, ok := l.balancer.PickProbe(l.now, l.random.Float64); ok {
		fmt.Fprint(&l.text, "q", index)
		l.balancer.RecordProbe(l.now, index, float64(l.random.IntN(8))-1, l.drawMilliseconds(50))
	}
	if step%3 == 0 {
		index := l.random.IntN(l.balancer.Len())
		l.balancer.RecordReport(l.now, index, IdleLoad(l.drawMilliseconds(2000)), l.drawMilliseconds(200))
	}
}

// spill decides whether a further request is spilled over.
func (l *decisionLog) spill(step int) {
	letters := map[SpilloverReason]string{
		BudgetExhausted: "b", DeadlineTooClose: "l", NoReports: "u", FleetSaturated: "f", NoCapacity: "n", BackingOff: "t",
	}
	l.spillover.RecordArrival()
	index, reason := l.spillover.Pick(l.now, l.drawMilliseconds(2000), float64(l.random.IntN(9)), l.random.Float64)
	if reason != Allowed {
		fmt.Fprint(&l.text, "o", letters[reason])
		return
	}
	fmt.Fprint(&l.text, "o", index)
	l.balancer.RecordStart(l.now, index)
	outcome := Succeeded
	if l.random.IntN(5) == 0 || step%100 > 60 {
		outcome = Rejected
	}
	l.balancer.RecordOutcome(l.now, l.balancer.NameAt(index), outcome, 30*time.Millisecond)
	l.spillover.RecordOutcome(l.now, outcome)
}

// finish ends the request that was sent to an endpoint, and decides whether it is retried.
func (l *decisionLog) finish(step, steps int, name EndpointName) {
	outcome := Succeeded
	switch {
	case name == "m3" && step > steps/3 && step < 2*steps/3, name >= "m4" && step > 3*steps/4:
		outcome = Failed
	case l.random.IntN(10) == 0:
		outcome = Outcome(1 + l.random.IntN(3))
	}
	latency := time.Duration(10+l.random.IntN(40)) * time.Millisecond
	if name == "m4" {
		latency *= 4
	}
	if l.random.IntN(50) == 0 {
		l.balancer.RecordCancel(name)
	} else {
		l.balancer.RecordOutcome(l.now, name, outcome, latency)
	}
	attempt := Attempt{
		Deadline:     l.now + l.drawMilliseconds(400),
		AttemptsMade: 1 + l.random.IntN(3),
		MaxAttempts:  3,
		Idempotent:   step%2 == 0,
		Forwarded:    step%5 == 0,
	}
	result := AttemptResult{Outcome: outcome, NotSent: l.random.IntN(4) == 0, NoFailover: l.random.IntN(20) == 0}
	fmt.Fprint(&l.text, "s", uint8(l.balancer.DecideRetry(l.now, attempt, result)))
}

// TestGoldenDecisions checks, for every policy, that the same history, seed and configuration lead to the same
// decisions as in earlier versions.
func TestGoldenDecisions(t *testing.T) {
	var text bytes.Buffer
	for policy := LeastEstimatedLoad; policy <= LeastReportedLoad; policy++ {
		config, spillover := DefaultConfig(), DefaultSpilloverConfig()
		config.Policy, config.LocalZone = policy, "a"
		spillover.BudgetRatio, spillover.MaxSaturatedFraction = 0.5, 0.8
		steps := 90
		if policy == LeastEstimatedLoad {
			steps = 600
		}
		fmt.Fprintln(&text, "#", policy)
		text.WriteString(newDecisionLog(config, spillover, uint64(policy)+1).run(steps))
	}
	goldentest.CheckText(t, "testdata/decisions.txt", text.Bytes())
}
