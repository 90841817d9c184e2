package coordination

import (
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
