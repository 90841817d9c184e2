package coordination

import (
	"maps"
	"slices"
)

// drain requests a permit for each member that the command selects, that is up and that has no permit. It stops at the
// first request that is refused. The permits requested before it remain, and the reply lists their IDs.
func (s *State) drain(command Command) Reply {
	reply := Reply{OK: true}
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		member := s.Members[name]
		if !command.Selector.matches(member.Observation) || member.State != MemberUp || member.PermitID > 0 {
			continue
		}
		requested := s.requestPermit(name, command.RequestedBy, PurposeDrain, command.BeginTimeout)
		if !requested.OK {
			return Reply{Reason: string(name) + ": " + requested.Reason, PermitIDs: reply.PermitIDs}
		}
		reply.PermitIDs = append(reply.PermitIDs, requested.PermitID)
	}
	if len(reply.PermitIDs) == 0 {
		return refused("nobody in %v is up and without a permit", command.Selector)
	}
	return reply
}

// cancelDrain cancels the permits to drain that have not begun, either of the command's member or of all members that
// the command selects.
func (s *State) cancelDrain(command Command) Reply {
	isSelected := func(name Name) bool {
		if command.Member != "" {
			return command.Member == name
		}
		member := s.Members[name]
		return member != nil && command.Selector.matches(member.Observation)
	}
	reply := Reply{OK: true}
	for _, permit := range s.permitsByID() {
		if permit.Purpose == PurposeDrain && permit.Stage != PermitBegun && isSelected(permit.Member) {
			reply.PermitIDs = append(reply.PermitIDs, permit.ID)
			s.endPermit(permit, "dropped by "+command.RequestedBy)
		}
	}
	return reply
}
