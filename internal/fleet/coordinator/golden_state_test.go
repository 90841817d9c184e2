package coordinator

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/membership"
)

// expected tells what of the golden folder's state is not as it has to be.
func expected(a *coordination.State) error {
	var wrong []string
	is := func(what string, got, want any) {
		if !reflect.DeepEqual(got, want) {
			wrong = append(wrong, fmt.Sprintf("%s: %+v, wanted %+v", what, got, want))
		}
	}
	is("told", a.Config, coordination.Config{MaxHistory: 1000, MaxIdempotencyKeys: 4096, MaxMembers: 10_000, MaxQueuedPermits: 10_000, MaxOvertakes: 50,
		StalledAfter: time.Minute})
	is("times", []time.Duration{a.Now, a.LastLeaderTime}, []time.Duration{27 * time.Second, 15 * time.Second})
	is("term", a.Term, uint64(3))
	is("numbers", []uint64{uint64(a.LastPermitID), a.Sequence, uint64(len(a.History)), uint64(len(a.EndedPermits))}, []uint64{19, 35, 35,
		16})
	is("budgets", a.Budgets, []coordination.DisruptionBudget{{Name: "all", MaxUnavailable: 3, MinAvailableCapacity: 4}, {Name: "share-b",
		Selector: coordination.Selector{Zone: "b", Role: "instance"}, MaxUnavailable: -1, MaxUnavailableFraction: 0.5},
		{Name: "below", Selector: coordination.Selector{Upstream: "d0", Release: "1"}, MaxUnavailable: 1}})
	is("members", len(a.Members), 7)
	is("n0", *a.Members["n0"], coordination.Member{Observation: coordination.Observation{Name: "n0", Incarnation: 1_700_000_000_103, Zone: "a",
		Release: "3", Roles: membership.RoleServer, Capacity: 1.5},
		StateSince: 22500 * time.Millisecond, PermitID: 17, PreviousRelease: "1"})
	is("d0", *a.Members["d0"], coordination.Member{Observation: coordination.Observation{Name: "d0", Incarnation: 1_700_000_000_101, Zone: "a",
		Release: "1", Roles: membership.RoleUpstream, Upstream: "d0", Capacity: 1},
		StateSince: 13 * time.Second, PreviousRelease: "1"})
	is("r0", *a.Members["r0"], coordination.Member{Observation: coordination.Observation{Name: "r0", Incarnation: 1_700_000_000_101, Zone: "a",
		Release: "1", Roles: membership.RoleProxy | membership.RoleCoordinator, Capacity: 2,
		State: coordination.MemberSuspect}, StateSince: 13 * time.Second, PreviousRelease: "1"})
	is("permits", len(a.Permits), 3)
	is("17", *a.Permits[17], coordination.Permit{ID: 17, Member: "n0", Incarnation: 1_700_000_000_103, RequestedBy: "r3", Purpose: "back",
		Stage: coordination.PermitBegun, RequestedAt: 24500 * time.Millisecond,
		StageSince: 25500 * time.Millisecond, BeginTimeout: 30 * time.Second})
	is("18", *a.Permits[18], coordination.Permit{ID: 18, Member: "n3", Incarnation: 1_700_000_000_101, RequestedBy: "operator-3",
		Purpose: "drain", Stage: coordination.PermitGranted, RequestedAt: 25 * time.Second,
		StageSince: 25 * time.Second, BeginTimeout: 40 * time.Second})
	is("19", *a.Permits[19], coordination.Permit{ID: 19, Member: "n1", RequestedBy: "operator-3", Purpose: "drain",
		Stage: coordination.PermitQueued, RequestedAt: 27 * time.Second, StageSince: 27 * time.Second,
		BeginTimeout: 30 * time.Second, WaitReason: "budget all: 3 of 7 out, 3 may be"})
	is("waiting", a.PermitQueue, []coordination.PermitID{19})
	is("keys", a.Replies, map[string]coordination.Reply{"key-2": {OK: true, PermitID: 1}, "key-3": {OK: true, PermitID: 10}})
	is("key ring", a.ReplyOrder, []string{"key-2", "key-3"})
	is("halted", a.Halt, (*coordination.Halt)(nil))
	// It was started behind the snapshot, so Plan's Of and Judged are known; a snapshot does not hold them.
	is("release", *a.Rollout, coordination.Rollout{RolloutPlan: coordination.RolloutPlan{Name: "r3", TargetRelease: "3",
		Selector: coordination.Selector{Role: "instance"}, Waves: []coordination.Wave{{Count: 1}, {Fraction: 0.5}, {Zone: "c"}},
		Pause: time.Second, AnalysisRequired: true, RollbackWavesAtOnce: 2, MaxAttempts: 3}, RequestedBy: "operator-3", Phase: coordination.RolloutRollingBack, Wave: 1,
		PhaseSince:  24500 * time.Millisecond,
		WaveMembers: [][]coordination.Name{{"n0"}, {"n1", "n2"}, {"n4"}, {"n3"}}, WaitReason: "n1: permit 19 is queued", Analyzed: true,
		Reason: "second thoughts"})
	is("first entry", a.History[0], coordination.HistoryEntry{Sequence: 1, At: 500 * time.Millisecond, RequestedBy: "operator-2",
		Kind: coordination.KindSetBudgets, Summary: "3 budgets", Reply: coordination.Reply{OK: true}})
	is("an entry", a.History[7], coordination.HistoryEntry{Sequence: 8, At: 4500 * time.Millisecond, RequestedBy: "operator-2",
		Kind: coordination.KindCancelPermit, Summary: "permit 999 ", Reply: coordination.Reply{Reason: "permit 999 is over"}})
	is("last permit that is over", a.EndedPermits[15], coordination.Permit{ID: 16, Member: "n2", Incarnation: 1_700_000_000_101,
		RequestedBy: "r3", Purpose: "release", Stage: coordination.PermitEnded, RequestedAt: 23500 * time.Millisecond,
		StageSince: 24500 * time.Millisecond, BeginTimeout: 30 * time.Second, Outcome: "the release goes back"})
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "\n"))
	}
	return nil
}
