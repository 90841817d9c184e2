package coordination

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// A drain from its asking to its end. The second waits for its turn; one that is out counts until it is up again, whole; a key asked twice is one.
func Example() {
	f := newFleet(3, []string{"a"}, oneAtATime)
	fmt.Println(f.apply(Command{Kind: KindRequestPermit, Member: "n0", IdempotencyKey: "k"}), f.apply(Command{Kind: KindRequestPermit, Member: "n0", IdempotencyKey: "k"}))
	fmt.Println(f.apply(Command{Kind: KindRequestPermit, Member: "n1"}).PermitID, f.permitSummary())
	fmt.Println(f.apply(Command{Kind: KindBeginPermit, Member: "n0", PermitID: 1, Incarnation: 1}).OK, f.apply(Command{Kind: KindBeginPermit, Member: "n1", PermitID: 2, Incarnation: 1}))
	f.setMemberState(0, MemberLeaving)
	f.setMemberState(0, MemberGone)
	f.advanceTime(time.Hour)
	fmt.Println(f.permitSummary())
	f.observeInstance(0, 2, MemberWarmingUp, "1", "a")
	fmt.Println(f.permitSummary())
	f.observeInstance(0, 2, MemberUp, "1", "a")
	fmt.Println(f.lastEnded(), "|", f.permitSummary())
	// Output:
	// {true  1 []} {true  1 []}
	// 2 1 n0 granted; 2 n1 queued (budget one: 1 of 3 out, 1 may be)
	// true {false permit 2 is another's 0 []}
	// 1 n0 begun; 2 n1 queued (budget one: 1 of 3 out, 1 may be)
	// 1 n0 begun; 2 n1 queued (budget one: 1 of 3 out, 1 may be)
	// 1 n0: back | 2 n1 granted
}

// What keeps a permit from beginning: its time, a crash elsewhere, a halt, another life, a drop. What has begun is never taken back.
func Example_withdrawn() {
	f := newFleet(4, []string{"a"}, DisruptionBudget{Name: "two", MaxUnavailable: 2})
	f.apply(Command{Kind: KindRequestPermit, Member: "n0", BeginTimeout: time.Second})
	f.advanceTime(2 * time.Second)
	fmt.Println(f.lastEnded(), f.apply(Command{Kind: KindBeginPermit, Member: "n0", PermitID: 1, Incarnation: 1}))
	f.apply(Command{Kind: KindRequestPermit, Member: "n0"})
	f.apply(Command{Kind: KindBeginPermit, Member: "n0", PermitID: 2, Incarnation: 1})
	f.apply(Command{Kind: KindRequestPermit, Member: "n1"})
	f.setMemberState(3, MemberSuspect) // n0 begun, n1 granted, n3 in doubt: three of two
	fmt.Println(f.lastEnded(), "|", f.permitSummary())
	f.setMemberState(3, MemberUp)
	f.apply(Command{Kind: KindRequestPermit, Member: "n1"})
	fmt.Println(f.apply(Command{Kind: KindBeginPermit, Member: "n1", PermitID: 4, Incarnation: 9}).Reason)
	f.observeInstance(1, 2, MemberUp, "1", "a") // its life is over before it began
	fmt.Println(f.lastEnded())
	f.apply(Command{Kind: KindRequestPermit, Member: "n1"})
	f.apply(Command{Kind: KindHalt, RequestedBy: "op"})
	fmt.Println(f.lastEnded(), f.apply(Command{Kind: KindBeginPermit, Member: "n1", PermitID: 5, Incarnation: 2}))
	fmt.Println(f.apply(Command{Kind: KindRequestPermit, Member: "n2"}), "|", f.permitSummary())
	f.apply(Command{Kind: KindResume})
	fmt.Println(f.permitSummary())
	fmt.Println(f.apply(Command{Kind: KindCancelPermit, PermitID: 6, RequestedBy: "op"}).OK, f.lastEnded(), f.apply(Command{Kind: KindCancelPermit, PermitID: 2}))
	f.apply(Command{Kind: KindForgetMember, Member: "n0", RequestedBy: "op"})
	fmt.Println(f.apply(Command{Kind: KindForgetMember, Member: "n2"}), f.permitSummary())
	// Output:
	// 1 n0: not begun in time {false permit 1 is over 0 []}
	// 3 n1: withdrawn: budget two: 3 of 4 out, 2 may be | 2 n0 begun
	// permit 4 is another's
	// 4 n1: its life was over before it began
	// 5 n1: withdrawn: halted {false permit 5 is over 0 []}
	// {true  6 []} | 2 n0 begun; 6 n2 queued (halted)
	// 2 n0 begun; 6 n2 granted
	// true 6 n2: dropped by op {false permit 2 has begun, and finishes 0 []}
	// {false n2 is there 0 []} 2 n0 begun
}

// Budgets: what no order of things would let go is said at once; one that changes under what waits, or is out; several that overlap; least capacity;
// a waiting one lets others by, so often.
func Example_budgets() {
	f := newFleet(6, []string{"a", "b"}, DisruptionBudget{Name: "tenth", MaxUnavailableFraction: 0.1, MaxUnavailable: -1})
	fmt.Println(f.apply(Command{Kind: KindRequestPermit, Member: "n0"}).Reason)
	f.apply(Command{Kind: KindSetBudgets, Budgets: []DisruptionBudget{{Name: "all", MaxUnavailable: 3}, {Name: "a", Selector: Selector{Zone: "a"}, MaxUnavailable: 1}, {Name: "up", MinAvailableCapacity: 4, MaxUnavailable: 99}}})
	fmt.Println(f.apply(Command{Kind: KindDrain, Selector: Selector{Zone: "a"}}).PermitIDs, f.permitSummary())
	for _, i := range []int{1, 3} {
		f.apply(Command{Kind: KindRequestPermit, Member: instanceName(i)})
	}
	fmt.Println(f.permitSummary())
	f.apply(Command{Kind: KindBeginPermit, Member: "n0", PermitID: 1, Incarnation: 1})
	f.apply(Command{Kind: KindSetBudgets, Budgets: []DisruptionBudget{{Name: "none", MaxUnavailable: 0}}})
	fmt.Println(f.permitSummary(), "|", f.Usage(f.Budgets[0]).Unavailable)
	fmt.Println(f.apply(Command{Kind: KindSetBudgets, Budgets: []DisruptionBudget{{Name: "x", MaxUnavailable: -1, MaxUnavailableFraction: 2}}}).Reason)
	f.apply(Command{Kind: KindSetBudgets})
	fmt.Println(f.apply(Command{Kind: KindRequestPermit, Member: "n4"}).Reason)

	f = newFleet(4, []string{"a", "b"}, DisruptionBudget{Name: "a", Selector: Selector{Zone: "a"}, MaxUnavailable: 1}, DisruptionBudget{Name: "b", Selector: Selector{Zone: "b"}, MaxUnavailable: 2}, DisruptionBudget{Name: "all", MaxUnavailable: 3})
	f.Config.MaxOvertakes = 1
	for _, i := range []int{0, 2, 1, 3} {
		f.apply(Command{Kind: KindRequestPermit, Member: instanceName(i)})
	}
	fmt.Println(f.permitSummary())
	// Output:
	// never: budget tenth lets none of 6 go out
	// [1 2 3] 1 n0 granted; 2 n2 queued (budget a: 1 of 3 out, 1 may be); 3 n4 queued (budget a: 1 of 3 out, 1 may be)
	// 1 n0 granted; 2 n2 queued (budget a: 1 of 3 out, 1 may be); 3 n4 queued (budget a: 1 of 3 out, 1 may be); 4 n1 granted; 5 n3 queued (budget up: 4 cores up, 4 wanted)
	// 1 n0 begun | 1
	// budget "x": wants a name, and most or a share from 0 to 1
	// never: there is no budget
	// 1 n0 granted; 2 n2 queued (budget a: 1 of 2 out, 1 may be); 3 n1 granted; 4 n3 queued (others have waited longer)
}

// Clocks of leaders that are an hour apart, or run back: spans get longer by it, never shorter.
func Example_clocks() {
	f := newFleet(2, []string{"a"}, oneAtATime)
	f.apply(Command{Kind: KindRequestPermit, Member: "n0", BeginTimeout: 10 * time.Second})
	for _, c := range []Command{{Term: 1, LeaderTime: 9 * time.Second}, {Term: 2, LeaderTime: time.Hour}, {Term: 2, LeaderTime: time.Minute}, {Term: 2, LeaderTime: time.Hour + 500*time.Millisecond}, {Term: 3, LeaderTime: 0}, {Term: 3, LeaderTime: time.Second}} {
		c.Kind = KindTick
		f.Apply(c)
		fmt.Print(f.Now, " ", f.permitSummary(), "; ")
	}
	fmt.Println(f.lastEnded())
	// Output: 9s 1 n0 granted; 9s 1 n0 granted; 9s 1 n0 granted; 9.5s 1 n0 granted; 9.5s 1 n0 granted; 10.5s ; 1 n0: not begun in time
}

// What is written to a snapshot and read is the same state.
func TestSnapshot(t *testing.T) {
	f := newFleet(5, []string{"a", "b"}, oneAtATime)
	f.apply(Command{Kind: KindStartRollout, Plan: &RolloutPlan{Name: "r", TargetRelease: "2"}, IdempotencyKey: "k"})
	f.restartGranted(func(Name) string { return "2" })
	f.apply(Command{Kind: KindHalt})
	b, err := json.Marshal(f.State)
	if err != nil {
		t.Fatal(err)
	}
	back := &State{}
	if err := json.Unmarshal(b, back); err != nil {
		t.Fatal(err)
	}
	again, _ := json.Marshal(back)
	if string(again) != string(b) {
		t.Fatalf("%s\n%s", b, again)
	}
}
