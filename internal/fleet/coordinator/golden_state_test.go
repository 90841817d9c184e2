package coordinator

import (
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/membership"
)

// checkGoldenState checks the state that is restored from the golden data directory.
func checkGoldenState(t *testing.T, state *coordination.State) {
	t.Helper()
	check := func(name string, got, want any) {
		t.Helper()
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}
	check("config", state.Config, coordination.Config{
		MaxHistory:         1000,
		MaxIdempotencyKeys: 4096,
		MaxMembers:         10_000,
		MaxQueuedPermits:   10_000,
		MaxOvertakes:       50,
		StalledAfter:       time.Minute,
	})
	check("now", state.Now, 27*time.Second)
	check("leader time", state.LastLeaderTime, 15*time.Second)
	check("term", state.Term, uint64(3))
	check("last permit", state.LastPermitID, coordination.PermitID(19))
	check("sequence", state.Sequence, uint64(35))
	check("history", len(state.History), 35)
	check("ended permits", len(state.EndedPermits), 16)
	check("budgets", state.Budgets, []coordination.DisruptionBudget{
		{Name: "all", MaxUnavailable: 3, MinAvailableCapacity: 4},
		{
			Name:                   "share-b",
			Selector:               coordination.Selector{Zone: "b", Role: "instance"},
			MaxUnavailable:         -1,
			MaxUnavailableFraction: 0.5,
		},
		{Name: "below", Selector: coordination.Selector{Upstream: "d0", Release: "1"}, MaxUnavailable: 1},
	})
	check("members", len(state.Members), 7)
	for name, want := range goldenMembers {
		check(string(name), *state.Members[name], want)
	}
	check("permits", len(state.Permits), 3)
	for id, want := range goldenPermits {
		check(string(want.Member)+"'s permit", *state.Permits[id], want)
	}
	check("queue", state.PermitQueue, []coordination.PermitID{19})
	check("replies", state.Replies, map[string]coordination.Reply{
		"key-2": {OK: true, PermitID: 1}, "key-3": {OK: true, PermitID: 10}})
	check("reply order", state.ReplyOrder, []string{"key-2", "key-3"})
	check("halt", state.Halt, (*coordination.Halt)(nil))
	check("rollout", *state.Rollout, goldenRollout)
	check("first entry", state.History[0], goldenFirstEntry)
	check("refused entry", state.History[7], goldenRefusedEntry)
	check("last ended permit", state.EndedPermits[15], goldenEndedPermit)
}

var goldenMembers = map[coordination.Name]coordination.Member{
	"n0": {
		Observation: coordination.Observation{
			Name:        "n0",
			Incarnation: 1_700_000_000_103,
			Zone:        "a",
			Release:     "3",
			Roles:       membership.RoleServer,
			Capacity:    1.5,
		},
		StateSince:      22500 * time.Millisecond,
		PermitID:        17,
		PreviousRelease: "1",
	},
	"d0": {
		Observation: coordination.Observation{
			Name:        "d0",
			Incarnation: 1_700_000_000_101,
			Zone:        "a",
			Release:     "1",
			Roles:       membership.RoleUpstream,
			Upstream:    "d0",
			Capacity:    1,
		},
		StateSince:      13 * time.Second,
		PreviousRelease: "1",
	},
	"r0": {
		Observation: coordination.Observation{
			Name:        "r0",
			Incarnation: 1_700_000_000_101,
			Zone:        "a",
			Release:     "1",
			Roles:       membership.RoleProxy | membership.RoleCoordinator,
			Capacity:    2,
			State:       coordination.MemberSuspect,
		},
		StateSince:      13 * time.Second,
		PreviousRelease: "1",
	},
}

var goldenPermits = map[coordination.PermitID]coordination.Permit{
	17: {
		ID:           17,
		Member:       "n0",
		Incarnation:  1_700_000_000_103,
		RequestedBy:  "r3",
		Purpose:      "back",
		Stage:        coordination.PermitBegun,
		RequestedAt:  24500 * time.Millisecond,
		StageSince:   25500 * time.Millisecond,
		BeginTimeout: 30 * time.Second,
	},
	18: {
		ID:           18,
		Member:       "n3",
		Incarnation:  1_700_000_000_101,
		RequestedBy:  "operator-3",
		Purpose:      "drain",
		Stage:        coordination.PermitGranted,
		RequestedAt:  25 * time.Second,
		StageSince:   25 * time.Second,
		BeginTimeout: 40 * time.Second,
	},
	19: {
		ID:           19,
		Member:       "n1",
		RequestedBy:  "operator-3",
		Purpose:      "drain",
		Stage:        coordination.PermitQueued,
		RequestedAt:  27 * time.Second,
		StageSince:   27 * time.Second,
		BeginTimeout: 30 * time.Second,
		WaitReason:   "budget all: 3 of 7 out, 3 may be",
	},
}

// goldenRollout was started after the snapshot, so its plan has its Selector and AnalysisRequired. A snapshot does not
// contain these two fields.
var goldenRollout = coordination.Rollout{
	RolloutPlan: coordination.RolloutPlan{
		Name:                "r3",
		TargetRelease:       "3",
		Selector:            coordination.Selector{Role: "instance"},
		Waves:               []coordination.Wave{{Count: 1}, {Fraction: 0.5}, {Zone: "c"}},
		Pause:               time.Second,
		AnalysisRequired:    true,
		RollbackWavesAtOnce: 2,
		MaxAttempts:         3,
	},
	RequestedBy: "operator-3",
	Phase:       coordination.RolloutRollingBack,
	Wave:        1,
	PhaseSince:  24500 * time.Millisecond,
	WaveMembers: [][]coordination.Name{{"n0"}, {"n1", "n2"}, {"n4"}, {"n3"}},
	WaitReason:  "n1: permit 19 is queued",
	Analyzed:    true,
	Reason:      "second thoughts",
}

var goldenEndedPermit = coordination.Permit{
	ID:           16,
	Member:       "n2",
	Incarnation:  1_700_000_000_101,
	RequestedBy:  "r3",
	Purpose:      "release",
	Stage:        coordination.PermitEnded,
	RequestedAt:  23500 * time.Millisecond,
	StageSince:   24500 * time.Millisecond,
	BeginTimeout: 30 * time.Second,
	Outcome:      "the release goes back",
}

var goldenFirstEntry = coordination.HistoryEntry{
	Sequence:    1,
	At:          500 * time.Millisecond,
	RequestedBy: "operator-2",
	Kind:        coordination.KindSetBudgets,
	Summary:     "3 budgets",
	Reply:       coordination.Reply{OK: true},
}

var goldenRefusedEntry = coordination.HistoryEntry{
	Sequence:    8,
	At:          4500 * time.Millisecond,
	RequestedBy: "operator-2",
	Kind:        coordination.KindCancelPermit,
	Summary:     "permit 999 ",
	Reply:       coordination.Reply{Reason: "permit 999 is over"},
}
