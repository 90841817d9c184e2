package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// fingerprint tells two states apart by all that later commands can find out, with permits by their order and times
// by how much is left of them.
func fingerprint(s *State) string {
	var b strings.Builder
	ids := slices.Sorted(maps.Keys(s.Permits))
	for i := range modelInstances {
		member := s.Members[instanceName(i)]
		if member == nil {
			b.WriteString("-;")
			continue
		}
		fmt.Fprintf(&b, "%s,%d,%s,%d;", member.State, member.Incarnation, member.Release,
			slices.Index(ids, member.PermitID))
	}
	for _, id := range ids {
		permit := s.Permits[id]
		fmt.Fprintf(&b, "%s,%s,%d,%s,%v;", permit.Member, permit.Stage, permit.Incarnation, permit.Purpose,
			min(s.Now-permit.StageSince, 3*time.Second))
	}
	fmt.Fprint(&b, s.Halt != nil, len(s.EndedPermits) > 0)
	for _, id := range s.PermitQueue {
		fmt.Fprint(&b, slices.Index(ids, id))
	}
	if rollout := s.Rollout; rollout != nil {
		fmt.Fprint(&b, rollout.Phase, rollout.Wave, rollout.Analyzed, min(s.Now-rollout.PhaseSince, 2*time.Second))
	}
	return b.String()
}

// violatedInvariant tells which invariant one step has broken, empty if none.
func violatedInvariant(before, after *State, command Command, reply Reply) string {
	begun := 0
	for id, permit := range after.Permits {
		if violated := permitViolation(before, after, id); violated != "" {
			return violated
		}
		if violated := advanceViolation(before, after, permit, command, reply); violated != "" {
			return violated
		}
		if permit.Stage == PermitBegun {
			begun++
		}
	}
	if begun > 1 {
		return "two have begun"
	}
	if command.Kind == KindBeginPermit && reply.OK {
		if permit := after.Permits[command.PermitID]; permit == nil || permit.Stage != PermitBegun {
			return "answered that it has begun, and it has not"
		}
	}
	if violated := endViolation(before, after); violated != "" {
		return violated
	}
	for name, member := range after.Members {
		if permit := after.Permits[member.PermitID]; member.PermitID > 0 && (permit == nil || permit.Member != name) {
			return "a member with a permit that is none"
		}
	}
	if command.Kind == KindHalt && after.Halt == nil {
		return "a halt that did not come into force"
	}
	mayResume := command.Kind == KindResume || command.Kind == KindRollBack
	if before.Halt != nil && after.Halt == nil && !mayResume {
		return "a halt that is over by itself"
	}
	return ""
}

// permitViolation checks what a permit is, beside what it was before the step.
func permitViolation(before, after *State, id PermitID) string {
	permit := after.Permits[id]
	previous := before.Permits[id]
	member := after.Members[permit.Member]
	switch {
	case member == nil || member.PermitID != id:
		return "a permit that its member does not have"
	case previous == nil && id <= before.LastPermitID:
		return "an ID that was over came again"
	case previous == nil:
		return ""
	case previous.Member != permit.Member:
		return "two holders of one permit"
	case previous.Stage != PermitQueued && previous.Incarnation != permit.Incarnation:
		return "two incarnations hold one permit"
	case previous.Stage == PermitBegun && permit.Stage != PermitBegun:
		return "one that had begun was withdrawn"
	}
	return ""
}

// advanceViolation checks a permit that was granted or begun by the step.
func advanceViolation(before, after *State, permit *Permit, command Command, reply Reply) string {
	previous := before.Permits[permit.ID]
	if permit.Stage == PermitQueued || previous != nil && previous.Stage == permit.Stage {
		return ""
	}
	if after.Halt != nil {
		return "it advanced in a halt"
	}
	isHolder := command.Member == permit.Member && command.Incarnation == permit.Incarnation
	if permit.Stage == PermitBegun && (command.Kind != KindBeginPermit || !isHolder || !reply.OK) {
		return "it began without its holder"
	}
	for _, budget := range after.Budgets {
		if usage := after.Usage(budget); usage.Unavailable > usage.UnavailableLimit {
			return usage.limitReason()
		}
	}
	return ""
}

// endViolation checks the permits that the step has ended.
func endViolation(before, after *State) string {
	for id, previous := range before.Permits {
		if after.Permits[id] != nil {
			continue
		}
		isEnded := func(permit Permit) bool { return permit.ID == id && permit.Outcome != "" }
		if !slices.ContainsFunc(after.EndedPermits, isEnded) {
			return "a permit was lost"
		}
		member := after.Members[previous.Member]
		if previous.Stage != PermitBegun || member == nil {
			continue
		}
		if member.State != MemberUp || member.Incarnation == previous.Incarnation {
			return "one that is out counts no more"
		}
	}
	return ""
}
