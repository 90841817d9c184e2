package coordination

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// Drains a member from the request to the end of its permit. A second drain is queued until the first one ends. An
// unavailable member counts against the budget until it is up again at its full rate. Two requests with the same
// idempotency key create one permit.
func Example() {
	f := newFleet(3, []string{"a"}, oneAtATime)
	keyed := Command{Kind: KindRequestPermit, Member: "n0", IdempotencyKey: "k"}
	fmt.Println(f.apply(keyed), f.apply(keyed))
	fmt.Println(f.request("n1").PermitID, f.permitSummary())
	fmt.Println(f.begin("n0", 1, 1).OK, f.begin("n1", 2, 1))
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

// A permit cannot begin after its timeout, a crash of another member, a halt, a restart of its holder or a
// cancellation. A permit that has begun is never withdrawn.
func Example_withdrawn() {
	f := newFleet(4, []string{"a"}, DisruptionBudget{Name: "two", MaxUnavailable: 2})
	f.apply(Command{Kind: KindRequestPermit, Member: "n0", BeginTimeout: time.Second})
	f.advanceTime(2 * time.Second)
	fmt.Println(f.lastEnded(), f.begin("n0", 1, 1))
	f.request("n0")
	f.begin("n0", 2, 1)
	f.request("n1")
	f.setMemberState(3, MemberSuspect) // n0 begun, n1 granted, n3 suspect: three unavailable, two allowed
	fmt.Println(f.lastEnded(), "|", f.permitSummary())
	f.setMemberState(3, MemberUp)
	f.request("n1")
	fmt.Println(f.begin("n1", 4, 9).Reason)
	f.observeInstance(1, 2, MemberUp, "1", "a") // n1 has restarted before its permit began
	fmt.Println(f.lastEnded())
	f.request("n1")
	f.apply(Command{Kind: KindHalt, RequestedBy: "op"})
	fmt.Println(f.lastEnded(), f.begin("n1", 5, 2))
	fmt.Println(f.request("n2"), "|", f.permitSummary())
	f.apply(Command{Kind: KindResume})
	fmt.Println(f.permitSummary())
	canceled := f.apply(Command{Kind: KindCancelPermit, PermitID: 6, RequestedBy: "op"}).OK
	fmt.Println(canceled, f.lastEnded(), f.apply(Command{Kind: KindCancelPermit, PermitID: 2}))
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

// Covers permits that can never be granted and are refused at once, budgets that change while permits are queued or
// begun, overlapping budgets, the minimum available capacity, and the limit on overtaking a queued permit.
//
//nolint:lll // the trace has one line per step
func Example_budgets() {
	f := newFleet(6, []string{"a", "b"}, DisruptionBudget{
		Name: "tenth", MaxUnavailableFraction: 0.1, MaxUnavailable: -1})
	fmt.Println(f.request("n0").Reason)
	f.apply(Command{Kind: KindSetBudgets, Budgets: []DisruptionBudget{
		{Name: "all", MaxUnavailable: 3},
		{Name: "a", Selector: Selector{Zone: "a"}, MaxUnavailable: 1},
		{Name: "up", MinAvailableCapacity: 4, MaxUnavailable: 99},
	}})
	fmt.Println(f.apply(Command{Kind: KindDrain, Selector: Selector{Zone: "a"}}).PermitIDs, f.permitSummary())
	f.request("n1")
	f.request("n3")
	fmt.Println(f.permitSummary())
	f.begin("n0", 1, 1)
	f.apply(Command{Kind: KindSetBudgets, Budgets: []DisruptionBudget{{Name: "none", MaxUnavailable: 0}}})
	fmt.Println(f.permitSummary(), "|", f.Usage(f.Budgets[0]).Unavailable)
	fmt.Println(f.apply(Command{Kind: KindSetBudgets, Budgets: []DisruptionBudget{
		{Name: "x", MaxUnavailable: -1, MaxUnavailableFraction: 2}}}).Reason)
	f.apply(Command{Kind: KindSetBudgets})
	fmt.Println(f.request("n4").Reason)

	f = newFleet(4, []string{"a", "b"},
		DisruptionBudget{Name: "a", Selector: Selector{Zone: "a"}, MaxUnavailable: 1},
		DisruptionBudget{Name: "b", Selector: Selector{Zone: "b"}, MaxUnavailable: 2},
		DisruptionBudget{Name: "all", MaxUnavailable: 3})
	f.Config.MaxOvertakes = 1
	for _, i := range []int{0, 2, 1, 3} {
		f.request(instanceName(i))
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

// Leaders whose clocks differ by an hour, or a clock that goes backward, make timeouts longer and never shorter.
//
//nolint:lll // the trace is one line
func Example_clocks() {
	f := newFleet(2, []string{"a"}, oneAtATime)
	f.apply(Command{Kind: KindRequestPermit, Member: "n0", BeginTimeout: 10 * time.Second})
	for _, command := range []Command{
		{Term: 1, LeaderTime: 9 * time.Second},
		{Term: 2, LeaderTime: time.Hour},
		{Term: 2, LeaderTime: time.Minute},
		{Term: 2, LeaderTime: time.Hour + 500*time.Millisecond},
		{Term: 3, LeaderTime: 0},
		{Term: 3, LeaderTime: time.Second},
	} {
		command.Kind = KindTick
		f.Apply(command)
		fmt.Print(f.Now, " ", f.permitSummary(), "; ")
	}
	fmt.Println(f.lastEnded())
	// Output: 9s 1 n0 granted; 9s 1 n0 granted; 9s 1 n0 granted; 9.5s 1 n0 granted; 9.5s 1 n0 granted; 10.5s ; 1 n0: not begun in time
}

// A state restored from a snapshot must encode to the same JSON as the original state.
func TestSnapshot(t *testing.T) {
	f := newFleet(5, []string{"a", "b"}, oneAtATime)
	plan := &RolloutPlan{Name: "r", TargetRelease: "2"}
	f.apply(Command{Kind: KindStartRollout, Plan: plan, IdempotencyKey: "k"})
	f.restartGranted(constantRelease("2"))
	f.apply(Command{Kind: KindHalt})
	originalJSON, err := json.Marshal(f.State)
	if err != nil {
		t.Fatal(err)
	}
	restored := &State{}
	if err := json.Unmarshal(originalJSON, restored); err != nil {
		t.Fatal(err)
	}
	restoredJSON, err := json.Marshal(restored)
	if err != nil {
		t.Fatal(err)
	}
	if string(restoredJSON) != string(originalJSON) {
		t.Fatalf("state encodes as\n%s\nand, after it is restored, as\n%s", originalJSON, restoredJSON)
	}
}
