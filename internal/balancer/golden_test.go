package balancer

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files of testdata anew")

// golden compares what is written today with the file of testdata that an earlier version wrote.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("%s: decided otherwise than before; now:\n%s", path, got)
	}
}

// Subsets are worked out by each process on its own: one of another version has to come to the same.
func TestGoldenSubsets(t *testing.T) {
	var text bytes.Buffer
	for _, at := range [][3]int{{3, 10, 4}, {12, 60, 15}, {7, 5, 2}, {2, 3, 3}} {
		var deciders, members []EndpointName
		for i := range at[0] {
			deciders = append(deciders, EndpointName(fmt.Sprint("relay-", i)))
		}
		for i := range at[1] {
			members = append(members, EndpointName(fmt.Sprint("instance-", i)))
		}
		subsets := Subsets(deciders, members, at[2])
		for _, d := range deciders {
			fmt.Fprint(&text, at, " ", d, ":")
			for _, m := range slices.Sorted(slices.Values(subsets[d])) {
				fmt.Fprint(&text, " ", m[len("instance-"):])
			}
			fmt.Fprintln(&text)
		}
	}
	golden(t, "subsets.txt", text.Bytes())
}

// decisions plays a drawn history to a balancer and writes down all that it decides, a letter and a number each.
func decisions(config Config, hand SpilloverConfig, seed uint64, steps int) string {
	words := map[SpilloverReason]string{BudgetExhausted: "b", DeadlineTooClose: "l", NoReports: "u", FleetSaturated: "f", NoCapacity: "n", BackingOff: "t"}
	rng := rand.New(rand.NewPCG(seed, 5))
	random := rng.Float64
	var all []Endpoint
	for i := range 12 {
		all = append(all, Endpoint{Name: EndpointName(fmt.Sprint("m", i)), Zone: []string{"a", "b"}[i%2], Capacity: float64(1 + i%3)})
	}
	c := New(config)
	h := NewSpilloverPolicy(hand, c)
	var text bytes.Buffer
	now := time.Second
	c.SetEndpoints(now, all[:10])
	for n := range steps {
		now += time.Duration(rng.IntN(40)) * time.Millisecond
		switch n {
		case steps / 4: // two come, cold; one is doubted
			all[10].WarmUpRemaining, all[10].WarmUp, all[11].WarmUpRemaining, all[11].WarmUp = 5*time.Second, 8*time.Second, 3*time.Second, 3*time.Second
			all[1].Suspect = true
			c.SetEndpoints(now, all)
		case steps / 2: // one goes
			all[1].Suspect = false
			c.SetEndpoints(now, all[1:])
		}
		i, ok := c.Pick(now, random, func(i int) bool { return i == n%7 })
		fmt.Fprint(&text, "p", i)
		if !ok {
			fmt.Fprint(&text, "!")
			continue
		}
		c.RecordStart(now, i)
		name := c.NameAt(i)
		if q, any := c.PickProbe(now, random); any {
			fmt.Fprint(&text, "q", q)
			c.RecordProbe(now, q, float64(rng.IntN(8))-1, time.Duration(rng.IntN(50))*time.Millisecond)
		}
		if n%3 == 0 {
			c.RecordReport(now, rng.IntN(c.Len()), IdleLoad(time.Duration(rng.IntN(2000))*time.Millisecond), time.Duration(rng.IntN(200))*time.Millisecond)
		}
		h.RecordArrival()
		place, why := h.Pick(now, time.Duration(rng.IntN(2000))*time.Millisecond, float64(rng.IntN(9)), random)
		if why == Allowed {
			fmt.Fprint(&text, "o", place)
			c.RecordStart(now, place)
			what := Succeeded
			if rng.IntN(5) == 0 || n%100 > 60 {
				what = Rejected
			}
			c.RecordOutcome(now, c.NameAt(place), what, 30*time.Millisecond)
			h.RecordOutcome(now, what)
		} else {
			fmt.Fprint(&text, "o", words[why])
		}
		what := Succeeded
		switch {
		case name == "m3" && n > steps/3 && n < 2*steps/3, name >= "m4" && n > 3*steps/4:
			what = Failed
		case rng.IntN(10) == 0:
			what = Outcome(1 + rng.IntN(3))
		}
		took := time.Duration(10+rng.IntN(40)) * time.Millisecond
		if name == "m4" {
			took *= 4
		}
		if rng.IntN(50) == 0 {
			c.RecordCancel(name)
		} else {
			c.RecordOutcome(now, name, what, took)
		}
		try := Attempt{Deadline: now + time.Duration(rng.IntN(400))*time.Millisecond, Made: 1 + rng.IntN(3), Max: 3, Idempotent: n%2 == 0, Forwarded: n%5 == 0}
		fmt.Fprint(&text, "s", uint8(c.DecideRetry(now, try, what, rng.IntN(4) == 0, rng.IntN(20) == 0)))
		if n%10 == 9 {
			fmt.Fprintln(&text)
		}
	}
	fmt.Fprintln(&text, "most looked bad", c.panicCount)
	return text.String()
}

// Decisions by the same history, seed and settings stay what they are, for every way of picking.
func TestGoldenDecisions(t *testing.T) {
	var text bytes.Buffer
	for way := LeastEstimatedLoad; way <= LeastReportedLoad; way++ {
		config, hand := DefaultConfig(), DefaultSpilloverConfig()
		config.Policy, config.LocalZone = way, "a"
		hand.BudgetRatio, hand.MaxSaturatedFraction = 0.5, 0.8
		steps := 90
		if way == LeastEstimatedLoad {
			steps = 600
		}
		fmt.Fprintln(&text, "#", way)
		text.WriteString(decisions(config, hand, uint64(way)+1, steps))
	}
	golden(t, "decisions.txt", text.Bytes())
}
