package balancer

import (
	"testing"
	"time"
)

// simulateWith runs a small simulation that is changed in one point.
func simulateWith(change func(*simulation)) simulationResult {
	sim := simulation{
		servers:          60,
		senders:          12,
		utilization:      0.7,
		seconds:          10,
		probesPerRequest: 2,
		reportAge:        2 * time.Millisecond,
		config:           DefaultConfig(),
	}
	change(&sim)
	return sim.run()
}

// TestPolicies compares the policies in simulated time: by the true loads, by what is known, and by the simple
// policies; with reports that are late, and servers that are slow, fail at once, or lie.
func TestPolicies(t *testing.T) {
	baseline := simulateWith(func(*simulation) {})
	random := simulateWith(func(sim *simulation) { sim.config.Policy = WeightedRandom })
	oracle := simulateWith(func(sim *simulation) { sim.oracle = true })
	t.Log("estimated load", baseline)
	t.Log("random        ", random)
	t.Log("true loads    ", oracle)
	if baseline.p99 > 1.15*oracle.p99 || baseline.p99 > 0.75*random.p99 {
		t.Error("worse than it has to be")
	}
	if baseline.peak > 1.25*baseline.peakByChance {
		t.Error("the most loaded server of a second gets too much")
	}
	if baseline.longestIdle > 5 {
		t.Error("a server is left idle")
	}
	t.Run("late reports", func(t *testing.T) { testLateReports(t, random) })
	t.Run("broken servers", testBrokenServers)
	t.Run("slow servers", testSlowServers)
	t.Run("liars", func(t *testing.T) { testFalseIdleReports(t, baseline) })
	t.Run("sparse load", testSparseLoad)
	t.Run("subsets", func(t *testing.T) { testSimulatedSubsets(t, baseline) })
}

// Reports as old as several requests take: all senders flock to one server if the reports are believed as they are.
func testLateReports(t *testing.T, random simulationResult) {
	const age = 500 * time.Millisecond
	decayed := simulateWith(func(sim *simulation) { sim.reportAge = age })
	undecayed := simulateWith(func(sim *simulation) {
		sim.reportAge = age
		sim.config.LoadHalfLife = time.Hour
	})
	leastReported := simulateWith(func(sim *simulation) {
		sim.reportAge = age
		sim.config.Policy = LeastReportedLoad
	})
	t.Log("decayed ", decayed)
	t.Log("believed", undecayed)
	t.Log("greedy  ", leastReported)
	if decayed.p99 > random.p99 || decayed.p99 > 0.8*undecayed.p99 || decayed.p99 > 0.5*leastReported.p99 {
		t.Error("senders flock")
	}
}

// One in twenty fails at once: it is free at once, and so the best of all by its load.
func testBrokenServers(t *testing.T) {
	ejected := simulateWith(func(sim *simulation) { sim.inject = breakTwentieth })
	kept := simulateWith(func(sim *simulation) {
		sim.inject = breakTwentieth
		sim.config.MaxOutlierFraction = -1
	})
	t.Log("ejected    ", ejected)
	t.Log("not ejected", kept)
	if ejected.failed > 0.01 || kept.failed < 3*ejected.failed {
		t.Error("the broken attract requests")
	}
}

func testSlowServers(t *testing.T) {
	slow := simulateWith(func(sim *simulation) {
		sim.inject = slowDownEighth
		sim.utilization = 0.6
	})
	random := simulateWith(func(sim *simulation) {
		sim.inject = slowDownEighth
		sim.utilization = 0.6
		sim.config.Policy = WeightedRandom
	})
	t.Log("estimated load", slow)
	t.Log("random        ", random)
	if slow.p99 > 0.5*random.p99 {
		t.Error("the slow ones are overloaded")
	}
}

// Two servers report that they are idle, whatever is so.
func testFalseIdleReports(t *testing.T, baseline simulationResult) {
	misled := simulateWith(func(sim *simulation) { sim.misreportingServers = 2 })
	t.Log(misled)
	if misled.p99 > 1.3*baseline.p99 {
		t.Error("a server that lies gets too much")
	}
}

func testSparseLoad(t *testing.T) {
	sparse := simulateWith(func(sim *simulation) {
		sim.utilization = 0.05
		sim.seconds = 40
	})
	oracle := simulateWith(func(sim *simulation) {
		sim.utilization = 0.05
		sim.seconds = 40
		sim.oracle = true
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
	short := simulateWith(func(sim *simulation) {
		sim.servers = 200
		sim.senders = 40
		sim.utilization = 0.03
		sim.seconds = 20
		sim.meanRunTime = 0.02
	})
	t.Log("short requests", short)
	if short.peak > 0.8*short.peakByChance || short.longestIdle > 5.5 {
		t.Error("sparse load of short requests")
	}
}

func testSimulatedSubsets(t *testing.T, baseline simulationResult) {
	subset := simulateWith(func(sim *simulation) { sim.subsetSize = 15 })
	t.Log(subset)
	if subset.p99 > 1.25*baseline.p99 || subset.connections != 12*15 {
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
