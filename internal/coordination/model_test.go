package coordination

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"lanewheel/internal/membership"
)

var depth = flag.Int("depth", 6, "how deep TestModel looks")

// modelInstances is the size of TestModel's fleet.
const modelInstances = 3

// modelNode is a state that TestModel has reached, and the commands that led to it.
type modelNode struct {
	state *State
	path  []string
}

// A small fleet explored whole, to a depth: three instances, a budget of one, all that may come in any order: members
// that crash, are suspect, come back as a later incarnation; permits requested, begun by their holder, by an old
// incarnation, late and twice, cancelled; halts, a rollout and its rollback; time. Deeper:
// go test -timeout 30m -run Model ./internal/coordination -depth 8.
func TestModel(t *testing.T) {
	start := newFleet(modelInstances, []string{"a"}, oneAtATime)
	start.Config.MaxOvertakes = 2
	visited := map[string]bool{}
	layer := []modelNode{{state: start.State}}
	applied := 0
	for level := range *depth {
		var next []modelNode
		for _, node := range layer {
			for _, command := range modelCommands(node.state) {
				state := cloneState(node.state)
				command.Term = 1
				command.LeaderTime += state.LastLeaderTime
				reply := state.Apply(command)
				applied++
				step := fmt.Sprintf("%v %v %v", command.Kind, command.Member, command.PermitID)
				if violated := violatedInvariant(node.state, state, command, reply); violated != "" {
					t.Fatalf("%s: after %v, then %s", violated, node.path, step)
				}
				key := fingerprint(state)
				if visited[key] {
					continue
				}
				visited[key] = true
				path := node.path
				if level+1 < *depth {
					path = append(slices.Clone(path), step)
				}
				next = append(next, modelNode{state, path})
			}
		}
		layer = next
	}
	t.Logf("%d states, %d commands, to a depth of %d", len(visited), applied, *depth)
}

// modelCommands are the commands that TestModel applies to a state.
func modelCommands(s *State) []Command {
	var all []Command
	for i := range modelInstances {
		if member := s.Members[instanceName(i)]; member != nil {
			all = append(all, modelMemberCommands(member)...)
		}
	}
	for id := max(1, s.LastPermitID) - 1; id <= s.LastPermitID; id++ {
		for i := range modelInstances {
			for incarnation := membership.Incarnation(1); incarnation <= 2; incarnation++ {
				all = append(all, Command{
					Kind: KindBeginPermit, Member: instanceName(i), PermitID: id, Incarnation: incarnation})
			}
		}
		all = append(all, Command{Kind: KindCancelPermit, PermitID: id})
	}
	plan := &RolloutPlan{Name: "r", TargetRelease: "2", Waves: []Wave{{Count: 1}}, Pause: time.Second}
	return append(all,
		Command{Kind: KindHalt},
		Command{Kind: KindResume},
		Command{Kind: KindTick, LeaderTime: time.Second},
		Command{Kind: KindStartRollout, Plan: plan},
		Command{Kind: KindRollBack},
		Command{Kind: KindCanaryVerdict, RolloutName: "r", Healthy: false})
}

// modelMemberCommands are the commands about one member.
func modelMemberCommands(member *Member) []Command {
	all := []Command{{Kind: KindRequestPermit, Member: member.Name, BeginTimeout: 2 * time.Second}}
	for _, state := range []MemberState{MemberUp, MemberSuspect, MemberGone} {
		observation := member.Observation
		if observation.State != state {
			observation.State = state
			all = append(all, Command{Kind: KindObserve, Observations: []Observation{observation}})
		}
	}
	if member.Incarnation < 3 {
		observation := member.Observation
		observation.Incarnation++
		observation.State = MemberUp
		observation.Release = "2"
		all = append(all, Command{Kind: KindObserve, Observations: []Observation{observation}})
	}
	return append(all, Command{Kind: KindForgetMember, Member: member.Name})
}

// cloneState copies a state, so that applying a command to the copy leaves the original alone. The history is left
// out.
func cloneState(s *State) *State {
	c := *s
	c.Members = make(map[Name]*Member, len(s.Members))
	for name, member := range s.Members {
		copied := *member
		c.Members[name] = &copied
	}
	c.Permits = make(map[PermitID]*Permit, len(s.Permits))
	for id, permit := range s.Permits {
		copied := *permit
		c.Permits[id] = &copied
	}
	c.PermitQueue = slices.Clone(s.PermitQueue)
	c.EndedPermits = slices.Clone(s.EndedPermits)
	c.ReplyOrder = slices.Clone(s.ReplyOrder)
	c.History = nil
	c.Replies = maps.Clone(s.Replies)
	if s.Halt != nil {
		copied := *s.Halt
		c.Halt = &copied
	}
	if s.Rollout != nil {
		copied := *s.Rollout
		c.Rollout = &copied
	}
	return &c
}
