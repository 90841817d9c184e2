package coordinator

import (
	"fmt"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/membership"
)

// goldenCommands are of every kind, and come out well unless said; at is when the first is given, from is the number of
// its first permit. They leave n0 out by a permit, n3 with one that has been granted, and a release on its way back.
func goldenCommands(term uint64, at time.Duration, from coordination.PermitID, inc membership.Incarnation, old, next string) (all []coordination.Command) {
	seen := func(name coordination.Name, zone, release string, plus membership.Incarnation, why coordination.MemberState) coordination.Observation {
		return coordination.Observation{Name: name, Incarnation: inc + plus, Zone: zone, Release: release, Roles: membership.RoleServer,
			Capacity: 1.5, State: why}
	}
	group := coordination.Selector{Zone: "b", Role: "instance"}
	all = []coordination.Command{
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", old, 0, coordination.MemberUp), seen("n1", "a", old, 0, coordination.MemberUp),
			seen("n2", "b", old, 0, coordination.MemberUp), seen("n3", "b", old, 0, coordination.MemberUp),
			seen("n4", "c", old, 0, coordination.MemberUp), seen("n5", "c", old, 0, coordination.MemberUp),
			{Name: "d0", Incarnation: inc, Zone: "a", Release: old, Roles: membership.RoleUpstream, Upstream: "d0", Capacity: 1,
				State: coordination.MemberUp},
			{Name: "r0", Incarnation: inc, Zone: "a", Release: old, Roles: membership.RoleProxy | membership.RoleCoordinator,
				Capacity: 2, State: coordination.MemberSuspect}}},
		{Kind: coordination.KindSetBudgets, Budgets: []coordination.DisruptionBudget{{Name: "all", MaxUnavailable: 3, MinAvailableCapacity: 4}, {Name: "share-b", Selector: group,
			MaxUnavailable: -1, MaxUnavailableFraction: 0.5},
			{Name: "below", Selector: coordination.Selector{Upstream: "d0", Release: old}, MaxUnavailable: 1}}},
		// The permit from; then the same command once more.
		{Kind: coordination.KindRequestPermit, Member: "n0", IdempotencyKey: fmt.Sprint("key-", term), BeginTimeout: 20 * time.Second, Reason: "by hand"},
		{Kind: coordination.KindRequestPermit, Member: "n0", IdempotencyKey: fmt.Sprint("key-", term), BeginTimeout: 20 * time.Second, Reason: "by hand"},
		{Kind: coordination.KindBeginPermit, Member: "n0", Incarnation: inc, PermitID: from},
		{Kind: coordination.KindDrain, Selector: group, BeginTimeout: 25 * time.Second}, // from+1 granted, from+2 waits
		{Kind: coordination.KindCancelDrain, Selector: coordination.Selector{Zone: "b"}},
		{Kind: coordination.KindRequestPermit, Member: "n4"}, // from+3
		{Kind: coordination.KindCancelPermit, PermitID: from + 3},
		{Kind: coordination.KindCancelPermit, PermitID: 999}, // refused
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n5", "c", old, 0, coordination.MemberGone)}},
		{Kind: coordination.KindForgetMember, Member: "n5", Reason: "it burnt"},
		{Kind: coordination.KindHalt, Reason: "for the night"},
		{Kind: coordination.KindResume},
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", old, 0, coordination.MemberLeaving)}},
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", old, 1, coordination.MemberUp)}}, // from is over
		// A release, a wave of it judged, and its way back.
		{Kind: coordination.KindStartRollout, Plan: &coordination.RolloutPlan{Name: "r" + next, TargetRelease: next, Selector: coordination.Selector{Role: "instance"},
			Waves: []coordination.Wave{{Count: 1}, {Fraction: 0.5}, {Zone: "c"}}, Pause: time.Second, AnalysisRequired: true, RollbackWavesAtOnce: 2,
			MaxAttempts: 3}}, // from+4: n0
		{Kind: coordination.KindBeginPermit, Member: "n0", Incarnation: inc + 1, PermitID: from + 4},
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", next, 2, coordination.MemberWarmingUp)}},
		{Kind: coordination.KindObserve, Observations: []coordination.Observation{seen("n0", "a", next, 2, coordination.MemberUp)}},
		{Kind: coordination.KindCanaryVerdict, RolloutName: "r" + next, Wave: 0, Healthy: true, Reason: "+0.1%"},
		{Kind: coordination.KindTick},
		{Kind: coordination.KindTick},
		{Kind: coordination.KindRollBack, Reason: "second thoughts"}, // from+5: n0 goes back
		{Kind: coordination.KindRequestPermit, Member: "n3", BeginTimeout: 40 * time.Second},
		{Kind: coordination.KindBeginPermit, Member: "n0", Incarnation: inc + 2, PermitID: from + 7},
		{Kind: coordination.KindTick},
	}
	for i := range all {
		c := &all[i]
		c.Term, c.LeaderTime = term, at+time.Duration(i)*500*time.Millisecond
		if c.Kind != coordination.KindObserve && c.Kind != coordination.KindTick {
			c.RequestedBy = fmt.Sprint("operator-", term)
		}
	}
	return all
}

// goldenLog is the two halves: before the snapshot and behind it.
func goldenLog() (before, behind []coordination.Command) {
	before = goldenCommands(2, 3*time.Second, 1, 1_700_000_000_001, "1", "2")
	behind = goldenCommands(3, time.Second, 10, 1_700_000_000_101, "1", "3")
	last := behind[len(behind)-1]
	behind = append(behind, coordination.Command{Term: last.Term, LeaderTime: last.LeaderTime + time.Second, RequestedBy: "operator-3",
		Kind: coordination.KindRequestPermit, Member: "n1"}) // 19 waits
	return before, behind
}
