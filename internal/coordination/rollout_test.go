package coordination

import (
	"fmt"
	"time"
)

// restartGranted has whoever may go do so, and come back on a release, until nobody may.
func (f *fleet) restartGranted(release func(Name) string) (restarted []Name) {
	for {
		any := false
		for _, p := range f.permitsByID() {
			if p.Stage != PermitGranted || !f.apply(Command{Kind: KindBeginPermit, Member: p.Member, PermitID: p.ID, Incarnation: p.Incarnation}).OK {
				continue
			}
			any = true
			restarted = append(restarted, p.Member)
			m := f.Members[p.Member]
			x := m.Observation
			x.State = MemberGone
			f.apply(Command{Kind: KindObserve, Observations: []Observation{x}})
			x.Incarnation++
			x.State, x.Release = MemberUp, release(x.Name)
			f.apply(Command{Kind: KindObserve, Observations: []Observation{x}})
		}
		if !any {
			return restarted
		}
	}
}

// A release in waves: one, a zone, the rest; each is judged. A bad verdict halts it; nothing begins any more; the way back brings all that went, several
// waves at a time, under the same budget.
func Example_release() {
	f := newFleet(6, []string{"a", "b"}, oneAtATime)
	plan := &RolloutPlan{Name: "r2", TargetRelease: "2", Waves: []Wave{{Count: 1}, {Zone: "b"}}, Pause: 10 * time.Second, AnalysisRequired: true, RollbackWavesAtOnce: 2, MaxAttempts: 1}
	fmt.Println(f.apply(Command{Kind: KindStartRollout, Plan: plan, RequestedBy: "a"}).OK, f.apply(Command{Kind: KindStartRollout, Plan: &RolloutPlan{Name: "r3", TargetRelease: "3"}, RequestedBy: "b"}).Reason)
	two := func(Name) string { return "2" }
	fmt.Println(f.Rollout.WaveMembers, f.restartGranted(two), f.Rollout.Phase)
	f.advanceTime(11 * time.Second)
	fmt.Println(f.Rollout.WaitReason, f.restartGranted(two))
	fmt.Println(f.apply(Command{Kind: KindCanaryVerdict, RolloutName: "r2", Wave: 0, Healthy: true}).OK, f.restartGranted(two), f.Rollout.WaitReason)
	fmt.Println(f.apply(Command{Kind: KindCanaryVerdict, RolloutName: "r2", Wave: 0, Healthy: false}).Reason)
	f.apply(Command{Kind: KindCanaryVerdict, RolloutName: "r2", Wave: 1, Healthy: true})
	f.advanceTime(11 * time.Second)
	f.apply(Command{Kind: KindBeginPermit, Member: f.permitsByID()[0].Member, PermitID: f.permitsByID()[0].ID, Incarnation: 1})
	fmt.Println(f.Rollout.Wave, f.permitSummary())
	f.apply(Command{Kind: KindCanaryVerdict, RolloutName: "r2", Wave: 2, Healthy: false, Reason: "slower", RequestedBy: "the judgement"})
	fmt.Println(*f.Halt, f.Rollout.WaitReason)
	fmt.Println(f.apply(Command{Kind: KindRollBack, RequestedBy: "op"}).OK, f.apply(Command{Kind: KindRollBack}).Reason)
	m := f.Members["n2"]
	f.observeInstance(2, int(m.Incarnation)+1, MemberUp, "2", "a")
	fmt.Println(f.restartGranted(func(Name) string { return "1" }), f.Rollout.Phase, f.Halt)
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

// A release that can't go on says what it waits for: one that comes back as it was, one that does not come back.
func Example_stuck() {
	f := newFleet(2, []string{"a"}, oneAtATime)
	f.apply(Command{Kind: KindStartRollout, Plan: &RolloutPlan{Name: "r", TargetRelease: "2", MaxAttempts: 2}})
	fmt.Println(f.restartGranted(func(Name) string { return "1" }), f.Rollout.WaitReason)
	f = newFleet(2, []string{"a"}, oneAtATime)
	f.apply(Command{Kind: KindStartRollout, Plan: &RolloutPlan{Name: "r", TargetRelease: "2"}})
	f.apply(Command{Kind: KindBeginPermit, Member: "n0", PermitID: 1, Incarnation: 1})
	f.setMemberState(0, MemberGone)
	f.advanceTime(2 * time.Minute)
	fmt.Println(f.Rollout.WaitReason)
	f.observeInstance(0, 2, MemberUp, "2", "a")
	f.observeInstance(0, 1, MemberGone, "1", "a") // an old life's word, which came late
	fmt.Println(f.Members["n0"].State == MemberUp, f.Members["n0"].Release)
	// Output:
	// [n0 n1 n0 n1] n0 came back 2 times on 1
	// n0 has been out for 2m0s and does not come back
	// true 2
}
