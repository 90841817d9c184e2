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

var depth = flag.Int("depth", 6, "number of consecutive commands that TestModel explores")

// modelInstances is the number of instances in TestModel's fleet.
const modelInstances = 3

// modelNode is a state that TestModel has reached, with the commands that led to it.
type modelNode struct {
	state *State
	path  []string
}

// TestModel explores all sequences of commands, up to a depth, on a fleet of three instances with a budget of one. The
// commands include members that crash, are suspect or return as a later incarnation; permits that are requested,
// canceled, and begun by their holder, by an old incarnation, late or twice; halts; a rollout and its rollback; and
// the passage of time. To explore longer sequences, run
// go test -timeout 30m -run Model ./internal/coordination -depth 8.
func TestModel(t *testing.T) {
	start := newFleet(modelInstances, []string{"a"}, oneAtATime)
	start.Config.MaxOvertakes = 2
	visited := map[string]bool{}
	layer := []modelNode{{state: start.State}}
	commandCount := 0
	for level := range *depth {
		var next []modelNode
		for _, node := range layer {
			for _, command := range modelCommands(node.state) {
				state := cloneState(node.state)
				command.Term = 1
				command.LeaderTime += state.LastLeaderTime
				reply := state.Apply(command)
				commandCount++
				step := fmt.Sprintf("%v %v %v", command.Kind, command.Member, command.PermitID)
				if violated := violatedInvariant(node.state, state, command, reply); violated != "" {
					t.Fatalf("%s: commands %v, then %s", violated, node.path, step)
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
	t.Logf("explored %d states with %d commands to a depth of %d", len(visited), commandCount, *depth)
}

// modelCommands returns the commands that TestModel applies to a state.
func modelCommands(s *State) []Command {
	var commands []Command
	for i := range modelInstances {
		if member := s.Members[instanceName(i)]; member != nil {
			commands = append(commands, modelMemberCommands(member)...)
		}
	}
	for id := max(1, s.LastPermitID) - 1; id <= s.LastPermitID; id++ {
		for i := range modelInstances {
			for incarnation := membership.Incarnation(1); incarnation <= 2; incarnation++ {
				commands = append(commands, Command{
					Kind: KindBeginPermit, Member: instanceName(i), PermitID: id, Incarnation: incarnation})
			}
		}
		commands = append(commands, Command{Kind: KindCancelPermit, PermitID: id})
	}
	plan := &RolloutPlan{Name: "r", TargetRelease: "2", Waves: []Wave{{Count: 1}}, Pause: time.Second}
	return append(commands,
		Command{Kind: KindHalt},
		Command{Kind: KindResume},
		Command{Kind: KindTick, LeaderTime: time.Second},
		Command{Kind: KindStartRollout, Plan: plan},
		Command{Kind: KindRollBack},
		Command{Kind: KindCanaryVerdict, RolloutName: "r", Healthy: false})
}

// modelMemberCommands returns the commands that concern one member.
func modelMemberCommands(member *Member) []Command {
	commands := []Command{{Kind: KindRequestPermit, Member: member.Name, BeginTimeout: 2 * time.Second}}
	for _, state := range []MemberState{MemberUp, MemberSuspect, MemberGone} {
		observation := member.Observation
		if observation.State != state {
			observation.State = state
			commands = append(commands, Command{Kind: KindObserve, Observations: []Observation{observation}})
		}
	}
	if member.Incarnation < 3 {
		observation := member.Observation
		observation.Incarnation++
		observation.State = MemberUp
		observation.Release = "2"
		commands = append(commands, Command{Kind: KindObserve, Observations: []Observation{observation}})
	}
	return append(commands, Command{Kind: KindForgetMember, Member: member.Name})
}

// cloneState copies a state so that applying a command to the copy does not change the original. The history is not
// copied.
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
