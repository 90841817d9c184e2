package coordinator

import (
	"fmt"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/membership"
)

// goldenSeries generates the commands of one half of the golden log.
type goldenSeries struct {
	term        uint64
	leaderTime  time.Duration          // of the first command
	firstPermit coordination.PermitID  // the ID of the first permit that the commands create
	incarnation membership.Incarnation // of all members at the start of the series
	oldRelease  string
	newRelease  string
}

func (g goldenSeries) observe(observations ...coordination.Observation) coordination.Command {
	return coordination.Command{Kind: coordination.KindObserve, Observations: observations}
}

// server returns the observation of an instance on the old release.
func (g goldenSeries) server(name coordination.Name, zone string) coordination.Observation {
	return coordination.Observation{
		Name:        name,
		Incarnation: g.incarnation,
		Zone:        zone,
		Release:     g.oldRelease,
		Roles:       membership.RoleServer,
		Capacity:    1.5,
	}
}

// n0 returns an observation of the instance n0 in zone a after a number of restarts.
func (g goldenSeries) n0(
	release string, restarts membership.Incarnation, state coordination.MemberState,
) coordination.Observation {
	observation := g.server("n0", "a")
	observation.Incarnation += restarts
	observation.Release = release
	observation.State = state
	return observation
}

// members returns commands that observe all members and set budgets.
func (g goldenSeries) members() []coordination.Command {
	upstream := coordination.Observation{
		Name:        "d0",
		Incarnation: g.incarnation,
		Zone:        "a",
		Release:     g.oldRelease,
		Roles:       membership.RoleUpstream,
		Upstream:    "d0",
		Capacity:    1,
	}
	proxy := coordination.Observation{
		Name:        "r0",
		Incarnation: g.incarnation,
		Zone:        "a",
		Release:     g.oldRelease,
		Roles:       membership.RoleProxy | membership.RoleCoordinator,
		Capacity:    2,
		State:       coordination.MemberSuspect,
	}
	return []coordination.Command{
		g.observe(
			g.server("n0", "a"), g.server("n1", "a"),
			g.server("n2", "b"), g.server("n3", "b"),
			g.server("n4", "c"), g.server("n5", "c"),
			upstream, proxy),
		{Kind: coordination.KindSetBudgets, Budgets: []coordination.DisruptionBudget{
			{Name: "all", MaxUnavailable: 3, MinAvailableCapacity: 4},
			{
				Name:                   "share-b",
				Selector:               coordination.Selector{Zone: "b", Role: "instance"},
				MaxUnavailable:         -1,
				MaxUnavailableFraction: 0.5,
			},
			{Name: "below", Selector: coordination.Selector{Upstream: "d0", Release: g.oldRelease}, MaxUnavailable: 1},
		}},
	}
}

// permits returns commands that request, begin and cancel permits, including a refused command, and that halt and
// resume.
func (g goldenSeries) permits() []coordination.Command {
	keyed := coordination.Command{
		Kind:           coordination.KindRequestPermit,
		Member:         "n0",
		IdempotencyKey: fmt.Sprint("key-", g.term),
		BeginTimeout:   20 * time.Second,
		Reason:         "by hand",
	}
	begin := coordination.Command{
		Kind: coordination.KindBeginPermit, Member: "n0", Incarnation: g.incarnation, PermitID: g.firstPermit}
	drained := coordination.Selector{Zone: "b", Role: "instance"}
	gone := g.server("n5", "c")
	gone.State = coordination.MemberGone
	return []coordination.Command{
		keyed, // creates firstPermit
		keyed, // repeats the same command
		begin,
		{ // firstPermit+1 is granted, +2 is queued
			Kind: coordination.KindDrain, Selector: drained, BeginTimeout: 25 * time.Second},
		{Kind: coordination.KindCancelDrain, Selector: coordination.Selector{Zone: "b"}},
		{Kind: coordination.KindRequestPermit, Member: "n4"}, // firstPermit+3
		{Kind: coordination.KindCancelPermit, PermitID: g.firstPermit + 3},
		{Kind: coordination.KindCancelPermit, PermitID: 999}, // refused
		g.observe(gone),
		{Kind: coordination.KindForgetMember, Member: "n5", Reason: "it burnt"},
		{Kind: coordination.KindHalt, Reason: "for the night"},
		{Kind: coordination.KindResume},
		g.observe(g.n0(g.oldRelease, 0, coordination.MemberLeaving)),
		g.observe(g.n0(g.oldRelease, 1, coordination.MemberUp)), // firstPermit has ended
	}
}

// rollout returns commands that start a rollout, report the verdict on one of its waves and roll it back.
func (g goldenSeries) rollout() []coordination.Command {
	plan := &coordination.RolloutPlan{
		Name:                "r" + g.newRelease,
		TargetRelease:       g.newRelease,
		Selector:            coordination.Selector{Role: "instance"},
		Waves:               []coordination.Wave{{Count: 1}, {Fraction: 0.5}, {Zone: "c"}},
		Pause:               time.Second,
		AnalysisRequired:    true,
		RollbackWavesAtOnce: 2,
		MaxAttempts:         3,
	}
	begin := func(restarts membership.Incarnation, permit coordination.PermitID) coordination.Command {
		return coordination.Command{
			Kind:        coordination.KindBeginPermit,
			Member:      "n0",
			Incarnation: g.incarnation + restarts,
			PermitID:    g.firstPermit + permit,
		}
	}
	passed := coordination.Command{
		Kind: coordination.KindCanaryVerdict, RolloutName: plan.Name, Wave: 0, Healthy: true, Reason: "+0.1%"}
	return []coordination.Command{
		{Kind: coordination.KindStartRollout, Plan: plan}, // n0 gets firstPermit+4
		begin(1, 4),
		g.observe(g.n0(g.newRelease, 2, coordination.MemberWarmingUp)),
		g.observe(g.n0(g.newRelease, 2, coordination.MemberUp)),
		passed,
		{Kind: coordination.KindTick},
		{Kind: coordination.KindTick},
		{Kind: coordination.KindRollBack, Reason: "second thoughts"},
		{Kind: coordination.KindRequestPermit, Member: "n3", BeginTimeout: 40 * time.Second},
		begin(2, 7),
		{Kind: coordination.KindTick},
	}
}

// commands returns the commands of the series. They cover every kind, and succeed unless a comment states otherwise. At
// their end n0 is out of service with a permit, n3 has a granted permit, and a rollback is in progress.
func (g goldenSeries) commands() []coordination.Command {
	commands := append(g.members(), append(g.permits(), g.rollout()...)...)
	for i := range commands {
		command := &commands[i]
		command.Term = g.term
		command.LeaderTime = g.leaderTime + time.Duration(i)*500*time.Millisecond
		if command.Kind != coordination.KindObserve && command.Kind != coordination.KindTick {
			command.RequestedBy = fmt.Sprint("operator-", g.term)
		}
	}
	return commands
}

// goldenLog returns the two halves of the golden log: the commands before the snapshot and those after it.
func goldenLog() (before, after []coordination.Command) {
	before = goldenSeries{
		term:        2,
		leaderTime:  3 * time.Second,
		firstPermit: 1,
		incarnation: 1_700_000_000_001,
		oldRelease:  "1",
		newRelease:  "2",
	}.commands()
	after = goldenSeries{
		term:        3,
		leaderTime:  time.Second,
		firstPermit: 10,
		incarnation: 1_700_000_000_101,
		oldRelease:  "1",
		newRelease:  "3",
	}.commands()
	last := after[len(after)-1]
	return before, append(after, coordination.Command{ // permit 19, which is queued
		Kind:        coordination.KindRequestPermit,
		Term:        last.Term,
		LeaderTime:  last.LeaderTime + time.Second,
		RequestedBy: "operator-3",
		Member:      "n1",
	})
}
