package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// fingerprint returns a key by which TestModel recognizes a state that it has visited. States that later commands can
// distinguish should have different keys; the key does not contain PreviousRelease and FailedAttempts of the members.
// Permits are identified by their order. Elapsed times are capped at the longest time that makes a difference.
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

// violatedInvariant describes the invariant that one step violates. It returns an empty string if there is none.
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
		return "two permits have begun"
	}
	if command.Kind == KindBeginPermit && reply.OK {
		if permit := after.Permits[command.PermitID]; permit == nil || permit.Stage != PermitBegun {
			return "the reply states that the permit has begun, but it has not"
		}
	}
	if violated := endViolation(before, after); violated != "" {
		return violated
	}
	for name, member := range after.Members {
		if permit := after.Permits[member.PermitID]; member.PermitID > 0 && (permit == nil || permit.Member != name) {
			return "a member refers to a permit that does not exist or has another holder"
		}
	}
	if command.Kind == KindHalt && after.Halt == nil {
		return "the halt command did not take effect"
	}
	mayResume := command.Kind == KindResume || command.Kind == KindRollBack
	if before.Halt != nil && after.Halt == nil && !mayResume {
		return "the halt ended without a command that ends it"
	}
	return ""
}

// permitViolation compares a permit with its state before the step.
func permitViolation(before, after *State, id PermitID) string {
	permit := after.Permits[id]
	previous := before.Permits[id]
	member := after.Members[permit.Member]
	switch {
	case member == nil || member.PermitID != id:
		return "the member of a permit does not refer to it"
	case previous == nil && id <= before.LastPermitID:
		return "the ID of an ended permit was reused"
	case previous == nil:
		return ""
	case previous.Member != permit.Member:
		return "the holder of a permit changed"
	case previous.Stage != PermitQueued && previous.Incarnation != permit.Incarnation:
		return "the incarnation that holds a permit changed"
	case previous.Stage == PermitBegun && permit.Stage != PermitBegun:
		return "a permit that had begun was withdrawn"
	}
	return ""
}

// advanceViolation checks a permit that the step granted or began.
func advanceViolation(before, after *State, permit *Permit, command Command, reply Reply) string {
	previous := before.Permits[permit.ID]
	if permit.Stage == PermitQueued || previous != nil && previous.Stage == permit.Stage {
		return ""
	}
	if after.Halt != nil {
		return "a permit was granted or begun during a halt"
	}
	isHolder := command.Member == permit.Member && command.Incarnation == permit.Incarnation
	if permit.Stage == PermitBegun && (command.Kind != KindBeginPermit || !isHolder || !reply.OK) {
		return "a permit began without a command of its holder"
	}
	for _, budget := range after.Budgets {
		if usage := after.Usage(budget); usage.Unavailable > usage.UnavailableLimit {
			return usage.limitReason()
		}
	}
	return ""
}

// endViolation checks the permits that the step ended.
func endViolation(before, after *State) string {
	for id, previous := range before.Permits {
		if after.Permits[id] != nil {
			continue
		}
		isEnded := func(permit Permit) bool { return permit.ID == id && permit.Outcome != "" }
		if !slices.ContainsFunc(after.EndedPermits, isEnded) {
			return "a permit disappeared without being recorded as ended"
		}
		member := after.Members[previous.Member]
		if previous.Stage != PermitBegun || member == nil {
			continue
		}
		if member.State != MemberUp || member.Incarnation == previous.Incarnation {
			return "a begun permit ended before its member was up again as a later incarnation"
		}
	}
	return ""
}
