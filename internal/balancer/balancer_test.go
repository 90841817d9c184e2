package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lanewheel/internal/rapidtest"
)

const s = time.Second

// makeEndpoints gives members of one zone, or of those named, in turn.
func makeEndpoints(n int, zones ...string) (all []Endpoint) {
	for i := range n {
		m := Endpoint{Name: EndpointName(fmt.Sprint("m", i)), Capacity: 2}
		if len(zones) > 0 {
			m.Zone = zones[i%len(zones)]
		}
		all = append(all, m)
	}
	return all
}

// measureShares picks many times and gives how often each was, against an even share.
func measureShares(balancer *Balancer, now time.Duration) []float64 {
	random := rand.New(rand.NewPCG(1, 1)).Float64
	n := make([]float64, balancer.Len())
	const ops = 20000
	for range ops {
		i, _ := balancer.Pick(now, random, nil)
		n[i] += float64(len(n)) / ops
	}
	return n
}

func newBalancer(config Config, members []Endpoint) *Balancer {
	balancer := New(config)
	balancer.SetEndpoints(0, members)
	return balancer
}

// A cold one is warmed: a tenth at first, straight up with time; a doubted one gets a trickle; a larger one more.
func Example_shares() {
	config := DefaultConfig()
	config.ChoiceCount = 1
	all := makeEndpoints(4)
	all[1].WarmUpRemaining, all[1].WarmUp = 10*s, 10*s
	all[2].Suspect = true
	all[3].Capacity = 4
	balancer := newBalancer(config, all)
	for _, now := range []time.Duration{0, 5 * s, 10 * s} {
		balancer.weightsStale, balancer.weightsAt = true, 0
		n := measureShares(balancer, now)
		fmt.Printf("%v: cold %.2f, doubted %.2f, larger %.2f\n", now, n[1]/n[0], n[2]/n[0], n[3]/n[0])
	}
	// Output:
	// 0s: cold 0.10, doubted 0.02, larger 2.03
	// 5s: cold 0.56, doubted 0.02, larger 2.01
	// 10s: cold 1.02, doubted 0.02, larger 2.01
}

// A member that fails at once attracts nothing, one that is slow loses in proportion; when most look bad nobody is held to be. What is
// well again gets its share back by and by.
func Example_outliers() {
	config := DefaultConfig()
	config.ChoiceCount = 1
	balancer := newBalancer(config, makeEndpoints(10))
	for i := range 10 {
		for range 8 {
			what, took := Succeeded, 100*time.Millisecond
			switch i {
			case 0:
				what = Failed
			case 1:
				took = 400 * time.Millisecond
			}
			balancer.RecordStart(0, i)
			balancer.RecordOutcome(0, balancer.NameAt(i), what, took)
		}
	}
	n := measureShares(balancer, s)
	fmt.Printf("failing %.2f, slow %.2f, held to be bad %d\n", n[0], n[1], balancer.outlierCount)
	for range 8 {
		balancer.RecordOutcome(2*s, balancer.NameAt(0), Succeeded, 100*time.Millisecond)
	}
	fmt.Printf("well again %.2f\n", measureShares(balancer, 3*s)[0])
	for i := range 5 {
		for range 20 {
			balancer.RecordOutcome(4*s, balancer.NameAt(i), NoResponse, 0)
		}
	}
	n = measureShares(balancer, 5*s)
	fmt.Printf("half look bad: %.1f %.1f, %v\n", n[0], n[9], balancer.panicCount > 0)
	// Output:
	// failing 0.00, slow 0.56, held to be bad 1
	// well again 0.29
	// half look bad: 0.7 1.0, true
}

// Zones: all stays near while there is room; what does not fit goes to the others by their room, without a step.
func Example_zones() {
	config := DefaultConfig()
	config.LocalZone, config.ChoiceCount = "a", 1
	for _, use := range []float64{0.5, 0.7, 0.8, 0.9, 1, 1.2, 1.5} {
		balancer := newBalancer(config, makeEndpoints(30, "a", "b", "c"))
		for i := range balancer.Len() {
			load := map[string]float64{"a": use, "b": 0.5, "c": 0.9}[balancer.endpoints[i].Zone]
			balancer.RecordReport(0, i, 2*load, 0)
		}
		n := measureShares(balancer, s)
		sum := map[string]float64{}
		for i := range n {
			sum[balancer.endpoints[i].Zone] += n[i] / float64(len(n))
		}
		fmt.Printf("near at %.1f: stays %.2f, to the empty one %.2f, to the full one %.2f\n", use, sum["a"], sum["b"], sum["c"])
	}
	// Output:
	// near at 0.5: stays 1.00, to the empty one 0.00, to the full one 0.00
	// near at 0.7: stays 1.00, to the empty one 0.00, to the full one 0.00
	// near at 0.8: stays 0.93, to the empty one 0.05, to the full one 0.02
	// near at 0.9: stays 0.84, to the empty one 0.11, to the full one 0.05
	// near at 1.0: stays 0.75, to the empty one 0.18, to the full one 0.08
	// near at 1.2: stays 0.50, to the empty one 0.35, to the full one 0.15
	// near at 1.5: stays 0.21, to the empty one 0.55, to the full one 0.24
}

// Second tries: one in ten ops, a few saved up, never for what is a repeat already.
func Example_retryBudget() {
	balancer := newBalancer(DefaultConfig(), makeEndpoints(3))
	n := 0
	for balancer.takeRetry(false) {
		n++
	}
	for range 100 {
		balancer.RecordStart(0, 0)
	}
	more := 0
	for balancer.takeRetry(false) {
		more++
	}
	for range 1000 {
		balancer.RecordStart(0, 0)
	}
	fmt.Println(n, more, balancer.takeRetry(true), balancer.retryTokens)
	// Output: 10 9 false 10
}

// The first op of a newcomer takes a hundred times the usual: that alone does not leave it idle. Two more do, as of one that is slow.
func Example_firstRequest() {
	c := newBalancer(DefaultConfig(), makeEndpoints(4))
	for i := range 40 {
		c.RecordStart(0, i%4)
		c.RecordOutcome(0, c.NameAt(i%4), Succeeded, 20*time.Millisecond)
	}
	c.SetEndpoints(s, append(makeEndpoints(4), Endpoint{Name: "new", Capacity: 2}))
	for range 3 {
		c.RecordOutcome(s, "new", Succeeded, 2*s)
		c.recomputeWeights(s)
		i, _ := c.IndexOf("new")
		fmt.Printf("%.2f\n", c.endpoints[i].weight/c.endpoints[0].weight)
	}
	// Output:
	// 1.00
	// 0.64
	// 0.56
}

// A word that can't be is none; an older one does not count; a refusal says that a member is full.
func Example_invalidReports() {
	c := newBalancer(DefaultConfig(), makeEndpoints(3))
	for i := range 3 {
		c.RecordReport(s, i, 2, 0)
	}
	for _, x := range []struct {
		load float64
		age  time.Duration
	}{{-1, 0}, {1e9, 0}, {0, -s}, {0, s}, {0, 10 * s}} {
		c.RecordReport(s, 0, x.load, x.age)
	}
	fmt.Println(c.endpoints[0].reportedLoad, c.endpoints[0].reportedAt)
	c.RecordStart(s, 1)
	c.RecordOutcome(s, "m1", Rejected, 0)
	fmt.Println(c.endpoints[1].reportedLoad > c.endpoints[0].reportedLoad, c.endpoints[1].failures)
	c.RecordOutcome(s, "gone", Succeeded, s) // of one that has left meanwhile
	not := func(i int) bool { return i != 2 }
	i, ok := c.Pick(s, rand.New(rand.NewPCG(1, 1)).Float64, not)
	_, none := c.Pick(s, rand.New(rand.NewPCG(1, 1)).Float64, func(int) bool { return true })
	fmt.Println(i, ok, none)
	// Output:
	// 1 1s
	// true 0
	// 2 true false
}

// Subsets: each member is in as many as any other, one more or less; each decider has k; and when a member or a decider comes or goes
// few connections move.
func TestSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, m := rapid.IntRange(1, 40).Draw(t, "deciders"), rapid.IntRange(2, 60).Draw(t, "members")
		k := rapid.IntRange(1, m-1).Draw(t, "k")
		names := func(of string, n int) (all []EndpointName) {
			for i := range n {
				all = append(all, EndpointName(fmt.Sprint(of, i)))
			}
			return all
		}
		deciders, members := names("d", d), names("m", m)
		before := Subsets(deciders, members, k)
		count := map[EndpointName]int{}
		for _, list := range before {
			if len(list) != k {
				t.Fatal("a decider with ", len(list))
			}
			for _, x := range list {
				count[x]++
			}
		}
		for _, x := range members {
			if even := d * k / m; count[x] < even-1 || count[x] > even+1 {
				t.Fatal(x, " in ", count[x], ", even is ", even)
			}
		}
		slices.Reverse(members) // the order in which they were heard means nothing
		for who, list := range Subsets(deciders, members, k) {
			if !slices.Equal(slices.Sorted(slices.Values(list)), slices.Sorted(slices.Values(before[who]))) {
				t.Fatal("another order, another subset")
			}
		}
	})
}

func movedConnections(a, b map[EndpointName][]EndpointName) (n int) {
	for who, list := range b {
		for _, x := range list {
			if !slices.Contains(a[who], x) {
				n++
			}
		}
	}
	return n
}

// One of 200 members goes, one comes: of 800 connections, how many are opened beside those that can't stay.
func TestSubsetsAreStable(t *testing.T) {
	var deciders, members []EndpointName
	for i := range 40 {
		deciders = append(deciders, EndpointName(fmt.Sprint("d", i)))
	}
	for i := range 200 {
		members = append(members, EndpointName(fmt.Sprint("m", i)))
	}
	before := Subsets(deciders, members, 20)
	most, sum := 0, 0
	for i := range 50 {
		without := slices.Delete(slices.Clone(members), i, i+1)
		n := movedConnections(before, Subsets(deciders, without, 20))
		back := movedConnections(Subsets(deciders, without, 20), before)
		most, sum = max(most, n, back), sum+n
	}
	if most > 60 || sum/50 > 25 {
		t.Fatalf("%d of 800 opened on average, %d at the most", sum/50, most)
	}
	if n := movedConnections(before, Subsets(append(deciders, "d40"), members, 20)); n > 80 {
		t.Fatal("a further decider opens ", n)
	}
}

// In simulated time: by the true state, by what is known, and by the plain ways; with words that are late, members that are slow, fail
// at once, or lie. Each line fails without what it names.
func TestPolicies(t *testing.T) {
	small := simulation{members: 60, deciders: 12, utilization: 0.7, seconds: 10, probesPerRequest: 2, reportAge: 2 * time.Millisecond, config: DefaultConfig()}
	with := func(change func(*simulation)) result {
		k := small
		change(&k)
		return k.run()
	}
	way := func(w Policy) func(*simulation) { return func(k *simulation) { k.config.Policy = w } }
	usual, random, all := with(func(*simulation) {}), with(way(WeightedRandom)), with(func(k *simulation) { k.oracle = true })
	t.Log("informed", usual)
	t.Log("random  ", random)
	t.Log("sees all", all)
	if usual.p99 > 1.15*all.p99 || usual.p99 > 0.75*random.p99 {
		t.Error("worse than it has to be")
	}
	if usual.most > 1.25*usual.fair {
		t.Error("a window's most loaded gets too much")
	}
	if usual.idle > 5 {
		t.Error("one is left idle")
	}
	// Words as old as several ops take: everybody's favourite, if they are believed as they are.
	late := with(func(k *simulation) { k.reportAge = 500 * time.Millisecond })
	fresh := with(func(k *simulation) { k.reportAge = 500 * time.Millisecond; k.config.LoadHalfLife = time.Hour })
	greedy := with(func(k *simulation) { k.reportAge = 500 * time.Millisecond; k.config.Policy = LeastReportedLoad })
	t.Log("late words", late)
	t.Log("  believed", fresh)
	t.Log("  greedy  ", greedy)
	if late.p99 > random.p99 || late.p99 > 0.8*fresh.p99 || late.p99 > 0.5*greedy.p99 {
		t.Error("a herd")
	}
	// One in twenty fails at once: free at once, so the best of all by its load.
	broken := with(func(k *simulation) { k.inject = breakTwentieth })
	blind := with(func(k *simulation) { k.inject = breakTwentieth; k.config.MaxOutlierFraction = -1 })
	t.Log("broken", broken)
	t.Log("  not held to be bad", blind)
	if broken.failed > 0.01 || blind.failed < 3*broken.failed {
		t.Error("the broken attract")
	}
	slow := with(func(k *simulation) { k.inject = slowDownEighth; k.utilization = 0.6 })
	slowRandom := with(func(k *simulation) { k.inject = slowDownEighth; k.utilization = 0.6; k.config.Policy = WeightedRandom })
	t.Log("slow", slow)
	t.Log("  random", slowRandom)
	if slow.p99 > 0.5*slowRandom.p99 {
		t.Error("the slow ones are crowded")
	}
	// Two members say that they are idle, whatever is so.
	lied := with(func(k *simulation) { k.liars = 2 })
	t.Log("liars", lied)
	if lied.p99 > 1.3*usual.p99 {
		t.Error("who lies gets all")
	}
	thin := with(func(k *simulation) { k.utilization = 0.05; k.seconds = 40 })
	t.Log("thin", thin)
	if thin.most > 1.25*thin.fair || thin.p99 > 1.1*with(func(k *simulation) { k.utilization = 0.05; k.seconds = 40; k.oracle = true }).p99 {
		t.Error("thin load")
	}
	if thin.idle > 5 {
		t.Error("one is left idle under thin load")
	}
	// 200 members that get 3 ops of 20 ms a second each, by 40 deciders: a word is worth something for as long as a member waits for an op.
	short := with(func(k *simulation) {
		k.members, k.deciders, k.utilization, k.seconds, k.mean = 200, 40, 0.03, 20, 0.02
	})
	t.Log("thin, short ops", short)
	if short.most > 0.8*short.fair || short.idle > 5.5 {
		t.Error("thin load of short ops")
	}
	sub := with(func(k *simulation) { k.subsetSize = 15 })
	t.Log("subsets", sub)
	if sub.p99 > 1.25*usual.p99 || sub.connections != 12*15 {
		t.Error("subsets")
	}
}

func BenchmarkPick(b *testing.B) {
	balancer := newBalancer(DefaultConfig(), makeEndpoints(300))
	for i := range 300 {
		balancer.RecordProbe(0, i, float64(i%5), 0)
	}
	random := rand.New(rand.NewPCG(1, 1)).Float64
	b.ReportAllocs()
	for i := range b.N {
		p, _ := balancer.Pick(time.Duration(i), random, nil)
		balancer.RecordStart(time.Duration(i), p)
	}
}

func BenchmarkSubsets(b *testing.B) {
	for _, at := range [][3]int{{40, 200, 20}, {1000, 3000, 20}} {
		b.Run(fmt.Sprint(at), func(b *testing.B) {
			var deciders, members []EndpointName
			for i := range at[0] {
				deciders = append(deciders, EndpointName(fmt.Sprint("d", i)))
			}
			for i := range at[1] {
				members = append(members, EndpointName(fmt.Sprint("m", i)))
			}
			for range b.N {
				Subsets(deciders, members, at[2])
			}
		})
	}
}

// What a word is worth: all of it at once, half after the time that an op takes, nothing past its time; and what we sent since counts. Used
// by one op, it is not weighed again; of equal ones each has its turn.
func Example_reportDecay() {
	config := DefaultConfig()
	config.LoadHalfLife, config.ChoiceCount = 100*time.Millisecond, 1
	balancer := newBalancer(config, makeEndpoints(4))
	for i := range 4 {
		balancer.RecordProbe(0, i, float64(4*i), 0)
	}
	balancer.recomputeWeights(0)
	for _, now := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 10 * s} {
		fmt.Printf("%v: %.2f of mean %.0f\n", now, balancer.estimatedLoad(now, balancer.endpoints[0]), balancer.meanLoad)
	}
	balancer.RecordStart(0, 0)
	fmt.Printf("%.2f\n", balancer.estimatedLoad(0, balancer.endpoints[0]))
	fresh := 0
	for _, f := range balancer.probePool {
		if f == balancer.endpoints[0] {
			fresh++
		}
	}
	fmt.Println(fresh)
	balancer = newBalancer(config, makeEndpoints(16))
	for i := range 16 {
		balancer.RecordProbe(0, i, 1, 0)
	}
	n := measureShares(balancer, 0)
	fmt.Println(slices.Min(n) > 0.7, slices.Max(n) < 1.3)
	// Output:
	// 0s: 0.00 of mean 3
	// 100ms: 1.50 of mean 3
	// 300ms: 2.62 of mean 3
	// 10s: 3.00 of mean 3
	// 0.50
	// 0
	// true true
}
