package balancer

import (
	"testing"
	"time"
)

// simulateWith runs a small simulation that is changed in one point.
func simulateWith(change func(*simulation)) simulationResult {
	k := simulation{
		servers:          60,
		senders:          12,
		utilization:      0.7,
		seconds:          10,
		probesPerRequest: 2,
		reportAge:        2 * time.Millisecond,
		config:           DefaultConfig(),
	}
	change(&k)
	return k.run()
}

// TestPolicies compares the policies in simulated time: by the true loads, by what is known, and by the simple
// policies; with reports that are late, and servers that are slow, fail at once, or lie.
func TestPolicies(t *testing.T) {
	usual := simulateWith(func(*simulation) {})
	random := simulateWith(func(k *simulation) { k.config.Policy = WeightedRandom })
	oracle := simulateWith(func(k *simulation) { k.oracle = true })
	t.Log("estimated load", usual)
	t.Log("random        ", random)
	t.Log("true loads    ", oracle)
	if usual.p99 > 1.15*oracle.p99 || usual.p99 > 0.75*random.p99 {
		t.Error("worse than it has to be")
	}
	if usual.peak > 1.25*usual.peakByChance {
		t.Error("the most loaded server of a second gets too much")
	}
	if usual.longestIdle > 5 {
		t.Error("a server is left idle")
	}
	t.Run("late reports", func(t *testing.T) { testLateReports(t, random) })
	t.Run("broken servers", testBrokenServers)
	t.Run("slow servers", testSlowServers)
	t.Run("liars", func(t *testing.T) { testLiars(t, usual) })
	t.Run("sparse load", testSparseLoad)
	t.Run("subsets", func(t *testing.T) { testSimulatedSubsets(t, usual) })
}

// Reports as old as several requests take: all senders flock to one server if the reports are believed as they are.
func testLateReports(t *testing.T, random simulationResult) {
	const age = 500 * time.Millisecond
	late := simulateWith(func(k *simulation) { k.reportAge = age })
	believed := simulateWith(func(k *simulation) {
		k.reportAge = age
		k.config.LoadHalfLife = time.Hour
	})
	greedy := simulateWith(func(k *simulation) {
		k.reportAge = age
		k.config.Policy = LeastReportedLoad
	})
	t.Log("decayed ", late)
	t.Log("believed", believed)
	t.Log("greedy  ", greedy)
	if late.p99 > random.p99 || late.p99 > 0.8*believed.p99 || late.p99 > 0.5*greedy.p99 {
		t.Error("senders flock")
	}
}

// One in twenty fails at once: it is free at once, and so the best of all by its load.
func testBrokenServers(t *testing.T) {
	ejected := simulateWith(func(k *simulation) { k.inject = breakTwentieth })
	kept := simulateWith(func(k *simulation) {
		k.inject = breakTwentieth
		k.config.MaxOutlierFraction = -1
	})
	t.Log("ejected    ", ejected)
	t.Log("not ejected", kept)
	if ejected.failed > 0.01 || kept.failed < 3*ejected.failed {
		t.Error("the broken attract requests")
	}
}

func testSlowServers(t *testing.T) {
	slow := simulateWith(func(k *simulation) {
		k.inject = slowDownEighth
		k.utilization = 0.6
	})
	random := simulateWith(func(k *simulation) {
		k.inject = slowDownEighth
		k.utilization = 0.6
		k.config.Policy = WeightedRandom
	})
	t.Log("estimated load", slow)
	t.Log("random        ", random)
	if slow.p99 > 0.5*random.p99 {
		t.Error("the slow ones are overloaded")
	}
}

// Two servers report that they are idle, whatever is so.
func testLiars(t *testing.T, usual simulationResult) {
	lied := simulateWith(func(k *simulation) { k.liars = 2 })
	t.Log(lied)
	if lied.p99 > 1.3*usual.p99 {
		t.Error("a server that lies gets too much")
	}
}

func testSparseLoad(t *testing.T) {
	sparse := simulateWith(func(k *simulation) {
		k.utilization = 0.05
		k.seconds = 40
	})
	oracle := simulateWith(func(k *simulation) {
		k.utilization = 0.05
		k.seconds = 40
		k.oracle = true
	})
	t.Log(sparse)
	if sparse.peak > 1.25*sparse.peakByChance || sparse.p99 > 1.1*oracle.p99 {
		t.Error("sparse load")
	}
	if sparse.longestIdle > 5 {
		t.Error("a server is left idle under sparse load")
	}
	// 200 servers that get 3 requests of 20 ms a second each, from 40 senders: a report is worth something for as long
	// as a server waits for a request.
	short := simulateWith(func(k *simulation) {
		k.servers = 200
		k.senders = 40
		k.utilization = 0.03
		k.seconds = 20
		k.meanRunTime = 0.02
	})
	t.Log("short requests", short)
	if short.peak > 0.8*short.peakByChance || short.longestIdle > 5.5 {
		t.Error("sparse load of short requests")
	}
}

func testSimulatedSubsets(t *testing.T, usual simulationResult) {
	subset := simulateWith(func(k *simulation) { k.subsetSize = 15 })
	t.Log(subset)
	if subset.p99 > 1.25*usual.p99 || subset.connections != 12*15 {
		t.Error("subsets")
	}
}

func TestPolicyString(t *testing.T) {
	names := map[Policy]string{LeastEstimatedLoad: "informed", LeastReportedLoad: "greedy", 7: "Policy(7)"}
	for policy, want := range names {
		if got := policy.String(); got != want {
			t.Errorf("policy %d is %q, want %q", uint8(policy), got, want)
		}
	}
}
