package coordination

import (
	"fmt"
	"time"
)

// Runs a rollout in three waves: one member, one zone and the remaining members. Each wave is analyzed. A failed
// verdict halts the rollout, so no further permit begins. The rollback returns all updated members to their previous
// release, several waves at a time, under the same budget.
func Example_rollout() {
	f := newFleet(6, []string{"a", "b"}, oneAtATime)
	plan := &RolloutPlan{
		Name:                "r2",
		TargetRelease:       "2",
		Waves:               []Wave{{Count: 1}, {Zone: "b"}},
		Pause:               10 * time.Second,
		AnalysisRequired:    true,
		RollbackWavesAtOnce: 2,
		MaxAttempts:         1,
	}
	other := &RolloutPlan{Name: "r3", TargetRelease: "3"}
	fmt.Println(f.apply(Command{Kind: KindStartRollout, Plan: plan, RequestedBy: "a"}).OK,
		f.apply(Command{Kind: KindStartRollout, Plan: other, RequestedBy: "b"}).Reason)
	updated := constantRelease("2")
	fmt.Println(f.Rollout.WaveMembers, f.restartGranted(updated), f.Rollout.Phase)
	f.advanceTime(11 * time.Second)
	fmt.Println(f.Rollout.WaitReason, f.restartGranted(updated))
	fmt.Println(f.verdict(0, true).OK, f.restartGranted(updated), f.Rollout.WaitReason)
	fmt.Println(f.verdict(0, false).Reason)
	f.verdict(1, true)
	f.advanceTime(11 * time.Second)
	first := f.permitsByID()[0]
	f.begin(first.Member, first.ID, 1)
	fmt.Println(f.Rollout.Wave, f.permitSummary())
	f.apply(Command{Kind: KindCanaryVerdict, RolloutName: "r2", Wave: 2, Healthy: false, Reason: "slower",
		RequestedBy: "the judgement"})
	fmt.Println(*f.Halt, f.Rollout.WaitReason)
	fmt.Println(f.apply(Command{Kind: KindRollBack, RequestedBy: "op"}).OK, f.apply(Command{Kind: KindRollBack}).Reason)
	f.observeInstance(2, int(f.Members["n2"].Incarnation)+1, MemberUp, "2", "a")
	fmt.Println(f.restartGranted(constantRelease("1")), f.Rollout.Phase, f.Halt)
	// Output:
	// true release r2 is going
	// [[n0] [n1 n3 n5] [n2 n4]] [n0] judging
	// the verdict on wave 1 []
	// true [n1 n3 n5] wave 2 is looked at
	// no wave 1 of r2 is judged
	// 2 5 n2 begun; 6 n4 queued (budget one: 1 of 6 out, 1 may be)
	// {22s the judgement release r2: slower} halted: release r2: slower
	// true release r2 is going back
	// [n1 n3 n5 n2 n0] back <nil>
}

// A stalled rollout reports what it waits for: a member that returned on its old release, or a member that has not
// returned.
func Example_stalledRollout() {
	f := newFleet(2, []string{"a"}, oneAtATime)
	f.apply(Command{Kind: KindStartRollout, Plan: &RolloutPlan{Name: "r", TargetRelease: "2", MaxAttempts: 2}})
	fmt.Println(f.restartGranted(constantRelease("1")), f.Rollout.WaitReason)
	f = newFleet(2, []string{"a"}, oneAtATime)
	f.apply(Command{Kind: KindStartRollout, Plan: &RolloutPlan{Name: "r", TargetRelease: "2"}})
	f.begin("n0", 1, 1)
	f.setMemberState(0, MemberGone)
	f.advanceTime(2 * time.Minute)
	fmt.Println(f.Rollout.WaitReason)
	f.observeInstance(0, 2, MemberUp, "2", "a")
	f.observeInstance(0, 1, MemberGone, "1", "a") // late observation of the earlier incarnation
	fmt.Println(f.Members["n0"].State == MemberUp, f.Members["n0"].Release)
	// Output:
	// [n0 n1 n0 n1] n0 came back 2 times on 1
	// n0 has been out for 2m0s and does not come back
	// true 2
}
