package coordination

import (
	"maps"
	"slices"
)

// drain requests a permit for each member that the command selects, that is up and has none. It stops at the first one
// that is refused: the permits before it stay, and the reply names them.
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

// cancelDrain ends the permits to drain, of one member or of all that the command selects, that have not begun.
func (s *State) cancelDrain(command Command) Reply {
	isMeant := func(name Name) bool {
		if command.Member != "" {
			return command.Member == name
		}
		member := s.Members[name]
		return member != nil && command.Selector.matches(member.Observation)
	}
	reply := Reply{OK: true}
	for _, permit := range s.permitsByID() {
		if permit.Purpose == PurposeDrain && permit.Stage != PermitBegun && isMeant(permit.Member) {
			reply.PermitIDs = append(reply.PermitIDs, permit.ID)
			s.endPermit(permit, "dropped by "+command.RequestedBy)
		}
	}
	return reply
}
