package balancer

import (
	"testing"
	"time"
)

// simulateWith runs a small simulation after applying a change to its parameters.
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

// TestPolicies compares policies in a simulation: LeastEstimatedLoad, an oracle that uses the true loads, and simple
// policies. The subtests cover late reports, sparse load, subsets, and servers that are slow, fail immediately or
// report false loads.
func TestPolicies(t *testing.T) {
	baseline := simulateWith(func(*simulation) {})
	random := simulateWith(func(sim *simulation) { sim.config.Policy = WeightedRandom })
	oracle := simulateWith(func(sim *simulation) { sim.oracle = true })
	t.Log("estimated load", baseline)
	t.Log("random        ", random)
	t.Log("true loads    ", oracle)
	if baseline.p99 > 1.15*oracle.p99 || baseline.p99 > 0.75*random.p99 {
		t.Error("99th percentile is too high compared with true loads or the random policy")
	}
	if baseline.peak > 1.25*baseline.peakByChance {
		t.Error("the most loaded server per second receives too many requests")
	}
	if baseline.longestIdle > 5 {
		t.Error("a server stays idle for too long")
	}
	t.Run("late reports", func(t *testing.T) { testLateReports(t, random) })
	t.Run("broken servers", testBrokenServers)
	t.Run("slow servers", testSlowServers)
	t.Run("false idle reports", func(t *testing.T) { testFalseIdleReports(t, baseline) })
	t.Run("sparse load", testSparseLoad)
	t.Run("subsets", func(t *testing.T) { testSimulatedSubsets(t, baseline) })
}

// testLateReports uses load reports whose age is several mean run times. Without decay of the reports, all senders
// would herd to the same server.
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
	t.Log("decayed       ", decayed)
	t.Log("not decayed   ", undecayed)
	t.Log("least reported", leastReported)
	if decayed.p99 > random.p99 || decayed.p99 > 0.8*undecayed.p99 || decayed.p99 > 0.5*leastReported.p99 {
		t.Error("senders herd to the same server")
	}
}

// testBrokenServers makes one in twenty servers fail requests immediately. Such a server is always idle, and therefore
// looks like the best choice.
func testBrokenServers(t *testing.T) {
	ejected := simulateWith(func(sim *simulation) { sim.inject = breakTwentieth })
	kept := simulateWith(func(sim *simulation) {
		sim.inject = breakTwentieth
		sim.config.MaxOutlierFraction = -1
	})
	t.Log("ejected    ", ejected)
	t.Log("not ejected", kept)
	if ejected.failed > 0.01 || kept.failed < 3*ejected.failed {
		t.Error("broken servers attract requests")
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
		t.Error("the slow servers are overloaded")
	}
}

// testFalseIdleReports makes two servers always report that they are idle.
func testFalseIdleReports(t *testing.T, baseline simulationResult) {
	misled := simulateWith(func(sim *simulation) { sim.misreportingServers = 2 })
	t.Log(misled)
	if misled.p99 > 1.3*baseline.p99 {
		t.Error("a server with false reports receives too many requests")
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
		t.Error("peak or 99th percentile is too high under sparse load")
	}
	if sparse.longestIdle > 5 {
		t.Error("a server stays idle for too long under sparse load")
	}
	// Each of 200 servers receives 3 requests of 20 ms per second from 40 senders. A report must keep its weight for
	// about the time between two requests to a server.
	short := simulateWith(func(sim *simulation) {
		sim.servers = 200
		sim.senders = 40
		sim.utilization = 0.03
		sim.seconds = 20
		sim.meanRunTime = 0.02
	})
	t.Log("short requests", short)
	if short.peak > 0.8*short.peakByChance || short.longestIdle > 5.5 {
		t.Error("peak or idle time is too high under sparse load of short requests")
	}
}

func testSimulatedSubsets(t *testing.T, baseline simulationResult) {
	subset := simulateWith(func(sim *simulation) { sim.subsetSize = 15 })
	t.Log(subset)
	if subset.p99 > 1.25*baseline.p99 || subset.connections != 12*15 {
		t.Error("99th percentile is too high or the number of connections is wrong with subsets")
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
