package coordination

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/membership"
)

var depth = flag.Int("depth", 6, "how deep TestModel looks")

// fleet is a state with so many instances in zones in turn, all up, and a hand that writes commands.
type fleet struct {
	*State
	at time.Duration
}

func newFleet(n int, zones []string, budgets ...DisruptionBudget) *fleet {
	f := &fleet{State: NewState(DefaultConfig())}
	for i := range n {
		f.observeInstance(i, 1, MemberUp, "1", zones[i%len(zones)])
	}
	f.apply(Command{Kind: KindSetBudgets, Budgets: budgets})
	return f
}

func instanceName(i int) Name { return Name(fmt.Sprint("n", i)) }

func (f *fleet) apply(c Command) Reply {
	c.Term, c.LeaderTime = 1, f.at
	return f.Apply(c)
}

func (f *fleet) observeInstance(i int, incarnation int, state MemberState, release, zone string) {
	f.apply(Command{Kind: KindObserve, Observations: []Observation{{Name: instanceName(i), Incarnation: membership.Incarnation(incarnation), Zone: zone, Release: release, Roles: membership.RoleServer, Capacity: 1, State: state}}})
}

// setMemberState changes how a member is, with all else as it was.
func (f *fleet) setMemberState(i int, state MemberState) {
	member := f.Members[instanceName(i)]
	f.observeInstance(i, int(member.Incarnation), state, member.Release, member.Zone)
}

func (f *fleet) advanceTime(d time.Duration) {
	f.at += d
	f.apply(Command{Kind: KindTick})
}

func (f *fleet) permitSummary() string {
	var all []string
	for _, p := range f.permitsByID() {
		text := fmt.Sprintf("%d %s %s", p.ID, p.Member, p.Stage)
		if p.WaitReason != "" {
			text += " (" + p.WaitReason + ")"
		}
		all = append(all, text)
	}
	return strings.Join(all, "; ")
}

func (f *fleet) lastEnded() string {
	if len(f.EndedPermits) == 0 {
		return "none"
	}
	p := f.EndedPermits[len(f.EndedPermits)-1]
	return fmt.Sprintf("%d %s: %s", p.ID, p.Member, p.Outcome)
}

var oneAtATime = DisruptionBudget{Name: "one", MaxUnavailable: 1}

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

// cloneState is a state of its own.
func cloneState(s *State) *State {
	c := *s
	c.Members = make(map[Name]*Member, len(s.Members))
	for n, m := range s.Members {
		x := *m
		c.Members[n] = &x
	}
	c.Permits = make(map[PermitID]*Permit, len(s.Permits))
	for n, p := range s.Permits {
		x := *p
		c.Permits[n] = &x
	}
	c.PermitQueue, c.EndedPermits, c.ReplyOrder, c.History = slices.Clone(s.PermitQueue), slices.Clone(s.EndedPermits), slices.Clone(s.ReplyOrder), nil
	c.Replies = maps.Clone(s.Replies)
	if s.Halt != nil {
		h := *s.Halt
		c.Halt = &h
	}
	if s.Rollout != nil {
		r := *s.Rollout
		c.Rollout = &r
	}
	return &c
}

// fingerprint tells two states apart by all that later commands can find out, with permits by their order and times by how much is left of them.
func fingerprint(s *State) string {
	var b strings.Builder
	numbers := slices.Sorted(maps.Keys(s.Permits))
	for i := range 3 {
		m := s.Members[instanceName(i)]
		if m == nil {
			b.WriteString("-;")
			continue
		}
		fmt.Fprintf(&b, "%s,%d,%s,%d;", m.State, m.Incarnation, m.Release, slices.Index(numbers, m.PermitID))
	}
	for _, n := range numbers {
		p := s.Permits[n]
		fmt.Fprintf(&b, "%s,%s,%d,%s,%v;", p.Member, p.Stage, p.Incarnation, p.Purpose, min(s.Now-p.StageSince, 3*time.Second))
	}
	fmt.Fprint(&b, s.Halt != nil, len(s.EndedPermits) > 0)
	for _, n := range s.PermitQueue {
		fmt.Fprint(&b, slices.Index(numbers, n))
	}
	if r := s.Rollout; r != nil {
		fmt.Fprint(&b, r.Phase, r.Wave, r.Analyzed, min(s.Now-r.PhaseSince, 2*time.Second))
	}
	return b.String()
}

// A small world explored whole, to a depth: three instances, a budget of one, all that may come in any order: members that crash, are in doubt, come
// back as a later life; permits asked for, begun by their holder, by an old life, late and twice, dropped; halts, a release and its way back;
// time. Deeper: go test -timeout 30m -run Model ./internal/coordination -depth 8.
func TestModel(t *testing.T) {
	start := newFleet(3, []string{"a"}, oneAtATime)
	start.Config.MaxOvertakes = 2
	type node struct {
		s    *State
		path []string
	}
	commands := func(s *State) (all []Command) {
		for i := range 3 {
			m := s.Members[instanceName(i)]
			if m == nil {
				continue
			}
			all = append(all, Command{Kind: KindRequestPermit, Member: m.Name, BeginTimeout: 2 * time.Second})
			for _, why := range []MemberState{MemberUp, MemberSuspect, MemberGone} {
				x := m.Observation
				if x.State != why {
					x.State = why
					all = append(all, Command{Kind: KindObserve, Observations: []Observation{x}})
				}
			}
			if m.Incarnation < 3 {
				x := m.Observation
				x.Incarnation++
				x.State, x.Release = MemberUp, "2"
				all = append(all, Command{Kind: KindObserve, Observations: []Observation{x}})
			}
			all = append(all, Command{Kind: KindForgetMember, Member: m.Name})
		}
		for n := max(1, s.LastPermitID) - 1; n <= s.LastPermitID; n++ {
			for i := range 3 {
				for of := membership.Incarnation(1); of <= 2; of++ {
					all = append(all, Command{Kind: KindBeginPermit, Member: instanceName(i), PermitID: n, Incarnation: of})
				}
			}
			all = append(all, Command{Kind: KindCancelPermit, PermitID: n})
		}
		return append(all, Command{Kind: KindHalt}, Command{Kind: KindResume}, Command{Kind: KindTick, LeaderTime: time.Second}, Command{Kind: KindStartRollout, Plan: &RolloutPlan{Name: "r", TargetRelease: "2", Waves: []Wave{{Count: 1}}, Pause: time.Second}},
			Command{Kind: KindRollBack}, Command{Kind: KindCanaryVerdict, RolloutName: "r", Healthy: false})
	}
	visited := map[string]bool{}
	layer := []node{{s: start.State}}
	applied := 0
	for d := range *depth {
		var next []node
		for _, n := range layer {
			for _, c := range commands(n.s) {
				s := cloneState(n.s)
				c.Term, c.LeaderTime = 1, s.LastLeaderTime+c.LeaderTime
				reply := s.Apply(c)
				applied++
				if wrong := violatedInvariant(n.s, s, c, reply); wrong != "" {
					t.Fatalf("%s: after %v, then %v %v %v", wrong, n.path, c.Kind, c.Member, c.PermitID)
				}
				if k := fingerprint(s); !visited[k] {
					visited[k] = true
					path := n.path
					if d+1 < *depth {
						path = append(slices.Clone(path), fmt.Sprintf("%v %v %v", c.Kind, c.Member, c.PermitID))
					}
					next = append(next, node{s, path})
				}
			}
		}
		layer = next
	}
	t.Logf("%d states, %d commands, to a depth of %d", len(visited), applied, *depth)
}

// violatedInvariant tells which invariant one step has broken.
func violatedInvariant(before, after *State, command Command, reply Reply) string {
	begun := 0
	for n, p := range after.Permits {
		previous := before.Permits[n]
		m := after.Members[p.Member]
		switch {
		case m == nil || m.PermitID != n:
			return "a permit that its member does not have"
		case previous != nil && (previous.Member != p.Member || previous.Stage != PermitQueued && previous.Incarnation != p.Incarnation):
			return "two holders of one number"
		case previous == nil && n <= before.LastPermitID:
			return "a number that was over came again"
		case previous != nil && previous.Stage == PermitBegun && p.Stage != PermitBegun:
			return "one that had begun was taken back"
		case p.Stage != PermitQueued && (previous == nil || previous.Stage != p.Stage): // it goes on by this step
			if after.Halt != nil {
				return "it went on in a halt"
			}
			if p.Stage == PermitBegun && (command.Kind != KindBeginPermit || command.Member != p.Member || command.Incarnation != p.Incarnation || !reply.OK) {
				return "it began without its holder"
			}
			for _, b := range after.Budgets {
				if usage := after.Usage(b); usage.Unavailable > usage.UnavailableLimit {
					return fmt.Sprintf("budget %s: %d out, %d may be", b.Name, usage.Unavailable, usage.UnavailableLimit)
				}
			}
		}
		if p.Stage == PermitBegun {
			begun++
		}
	}
	if command.Kind == KindBeginPermit && reply.OK && (after.Permits[command.PermitID] == nil || after.Permits[command.PermitID].Stage != PermitBegun) {
		return "told that it has begun, and it has not"
	}
	for n, previous := range before.Permits {
		if _, stays := after.Permits[n]; !stays && !slices.ContainsFunc(after.EndedPermits, func(p Permit) bool { return p.ID == n && p.Outcome != "" }) {
			return "a permit was lost"
		}
		if m := after.Members[previous.Member]; previous.Stage == PermitBegun && after.Permits[n] == nil && m != nil && (m.State != MemberUp || m.Incarnation == previous.Incarnation) {
			return "one that is out counts no more"
		}
	}
	if begun > 1 {
		return "two have begun"
	}
	for n, m := range after.Members {
		if p := after.Permits[m.PermitID]; m.PermitID > 0 && (p == nil || p.Member != n) {
			return "a member with a permit that is none"
		}
	}
	if command.Kind == KindHalt && after.Halt == nil || before.Halt != nil && after.Halt == nil && command.Kind != KindResume && command.Kind != KindRollBack {
		return "a halt that is over by itself"
	}
	return ""
}
