package client

import (
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/membership"
)

// clusterKey is the cluster's key in the tests.
var clusterKey = membership.Key("0123456789abcdef0123456789abcdef")

var (
	goldenSelector = coordination.Selector{Zone: "a", Release: "1", Role: "instance", Upstream: "db"}
	goldenBudget   = coordination.DisruptionBudget{
		Name:                   "zone-a",
		Selector:               goldenSelector,
		MaxUnavailable:         2,
		MaxUnavailableFraction: 0.25,
		MinAvailableCapacity:   12.5,
	}
	goldenObservation = coordination.Observation{
		Name:        "n1",
		Incarnation: 1_700_000_000_001,
		Zone:        "a",
		Release:     "1",
		Roles:       membership.RoleServer,
		Upstream:    "db",
		Capacity:    1.5,
		State:       coordination.MemberLeaving,
	}
	goldenPermit = coordination.Permit{
		ID:             42,
		Member:         "n1",
		Incarnation:    1_700_000_000_001,
		RequestedBy:    "operator",
		Purpose:        "drain",
		Stage:          coordination.PermitBegun,
		RequestedAt:    50 * time.Second,
		StageSince:     60 * time.Second,
		BeginTimeout:   30 * time.Second,
		TimesOvertaken: 4,
		WaitReason:     "halted",
		Outcome:        "back",
	}
	goldenReply = coordination.Reply{
		OK: true, Reason: "a reason", PermitID: 42, PermitIDs: []coordination.PermitID{42, 43}}
	goldenPlan = coordination.RolloutPlan{
		Name:                "r2",
		TargetRelease:       "2",
		Selector:            goldenSelector,
		Waves:               []coordination.Wave{{Count: 3, Fraction: 0.1, Zone: "b"}},
		Pause:               10 * time.Second,
		AnalysisRequired:    true,
		RollbackWavesAtOnce: 2.5,
		MaxAttempts:         3,
	}
	// Rollout's own "Of" and "Judged" shadow Selector and AnalysisRequired of its plan, which are not encoded.
	goldenRollout = coordination.Rollout{
		RolloutPlan: coordination.RolloutPlan{
			Name:                "r2",
			TargetRelease:       "2",
			Waves:               goldenPlan.Waves,
			Pause:               goldenPlan.Pause,
			RollbackWavesAtOnce: 2.5,
			MaxAttempts:         3,
		},
		RequestedBy: "operator",
		Phase:       coordination.RolloutAnalyzing,
		Wave:        1,
		PhaseSince:  75 * time.Second,
		WaveMembers: [][]coordination.Name{{"n1"}, {"n2"}},
		WaitReason:  "the verdict on wave 2",
		Analyzed:    true,
		Reason:      "slower",
	}
	goldenStatus = Status{
		ID:           "s0.0a1b2c3d",
		Leader:       "127.0.0.1:7400",
		IsLeader:     true,
		Term:         7,
		AppliedIndex: 99,
		Coordinators: map[string]string{"s0.0a1b2c3d": "127.0.0.1:7400"},
		FleetTime:    "1m30s",
		Halt:         &coordination.Halt{At: 85 * time.Second, By: "operator", Reason: "for the night"},
		Rollout:      &goldenRollout,
		Budgets: []coordination.BudgetUsage{{
			Budget: goldenBudget, Members: 8, Unavailable: 1, UnavailableLimit: 2, AvailableCapacity: 10.5}},
		Permits: []coordination.Permit{goldenPermit},
		Unavailable: []coordination.Member{{
			Observation:     goldenObservation,
			StateSince:      70 * time.Second,
			PermitID:        42,
			PreviousRelease: "0",
			FailedAttempts:  1,
		}},
		MemberCount: 9,
	}
	goldenCommand = coordination.Command{
		Term:           7,
		LeaderTime:     1500 * time.Millisecond,
		IdempotencyKey: "0123456789abcdef",
		RequestedBy:    "operator",
		Kind:           coordination.KindStartRollout,
		Observations:   []coordination.Observation{goldenObservation},
		Budgets:        []coordination.DisruptionBudget{goldenBudget},
		Member:         "n1",
		Incarnation:    1_700_000_000_001,
		Selector:       goldenSelector,
		PermitID:       42,
		BeginTimeout:   30 * time.Second,
		Reason:         "a reason",
		Plan:           &goldenPlan,
		RolloutName:    "r2",
		Wave:           1,
		Healthy:        true,
	}

	goldenRequests = []Request{
		{Command: &goldenCommand},
		{Status: true},
		{History: true},
		{Join: &JoinRequest{ID: "s1.0a1b2c3d", Addr: "127.0.0.1:7400"}},
		{RemoveCoordinator: "s1"},
	}
	goldenResponses = []Response{
		{Error: "no majority of stewards"},
		{Leader: "127.0.0.1:7401"},
		{Reply: &goldenReply},
		{Status: &goldenStatus},
		{
			History: []coordination.HistoryEntry{{
				Sequence:    3,
				At:          50 * time.Second,
				RequestedBy: "operator",
				Kind:        coordination.KindDrain,
				Summary:     "zone=a",
				Reply:       goldenReply,
			}},
			EndedPermits: []coordination.Permit{goldenPermit},
		},
	}
)
