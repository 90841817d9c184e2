package coordination

import (
	"time"

	"lanewheel/internal/membership"
)

// MemberState is the availability of a member: up, or the reason why it is unavailable. Its values are stored.
type MemberState string

// The states of a member. It is unavailable in all of them but MemberUp.
const (
	MemberUp        MemberState = ""
	MemberWarmingUp MemberState = "cold"    // serving, but not at its full rate yet
	MemberJoining   MemberState = "joining" // running, but not serving yet
	MemberSuspect   MemberState = "suspect"
	MemberLeaving   MemberState = "leaving"
	MemberGone      MemberState = "gone"
)

// Observation is a member as the leader's membership reports it.
type Observation struct {
	Name        Name                   `json:"Name"`
	Incarnation membership.Incarnation `json:"Incarnation"`
	Zone        string                 `json:"Zone"`
	Release     string                 `json:"Release"`
	Roles       membership.Roles       `json:"Roles"`
	Upstream    string                 `json:"Below"` // upstream service that the member provides; empty: none
	Capacity    float64                `json:"Capacity"`
	State       MemberState            `json:"Why"`
}

// Member is a member of the fleet that has been observed and not forgotten.
type Member struct {
	Observation
	StateSince      time.Duration `json:"Since"`  // fleet time
	PermitID        PermitID      `json:"Permit"` // its queued, granted or begun permit; 0: none
	PreviousRelease string        `json:"Before"` // its release at the start of the latest rollout
	FailedAttempts  int           `json:"Tries"`  // rollout permits after which it returned on an undesired release
}

func (s *State) observeAll(observations []Observation) Reply {
	for _, observation := range observations {
		s.observe(observation)
	}
	return Reply{OK: true}
}

// observe records an observation of a member, and ends the member's permit if the new state or incarnation requires it.
func (s *State) observe(observation Observation) {
	member := s.Members[observation.Name]
	if member == nil {
		// A member that is first observed when it is gone must not count as unavailable.
		if len(s.Members) >= s.Config.MaxMembers || observation.State == MemberGone {
			return
		}
		member = &Member{StateSince: s.Now}
		s.Members[observation.Name] = member
	}
	// A late observation of an earlier incarnation must not be applied to the current one.
	if observation.Incarnation < member.Incarnation {
		return
	}
	if observation.State != member.State || observation.Incarnation != member.Incarnation {
		member.StateSince = s.Now
	}
	member.Observation = observation
	permit := s.Permits[member.PermitID]
	if permit == nil {
		member.PermitID = 0
		return
	}
	restarted := observation.Incarnation != permit.Incarnation
	switch {
	case permit.Stage == PermitBegun && observation.State == MemberUp && restarted:
		s.endPermit(permit, "back")
		s.recordFailedAttempt(member, permit)
	case permit.Stage != PermitBegun && permit.Incarnation != 0 && restarted: // the new incarnation does not hold it
		s.endPermit(permit, "its life was over before it began")
	case permit.Stage == PermitQueued && observation.State != MemberUp:
		s.endPermit(permit, "out already: "+string(observation.State))
	}
}

// forgetMember removes a member that is suspect, leaving or gone and is not expected to return, and ends its permit.
func (s *State) forgetMember(command Command) Reply {
	member := s.Members[command.Member]
	if member == nil {
		return refused("no member %q", command.Member)
	}
	switch member.State {
	case MemberUp, MemberWarmingUp, MemberJoining:
		return refused("%s is there", command.Member)
	}
	if permit := s.Permits[member.PermitID]; permit != nil {
		s.endPermit(permit, "forgotten by "+command.RequestedBy)
	}
	delete(s.Members, command.Member)
	return Reply{OK: true}
}
