package coordination

import (
	"time"

	"lanewheel/internal/membership"
)

// MemberState is whether a member is out, and why. Its values are stored.
type MemberState string

// The states of a member; in all but MemberUp it is out.
const (
	MemberUp        MemberState = ""
	MemberWarmingUp MemberState = "cold"    // serving, not at its full rate yet
	MemberJoining   MemberState = "joining" // there, not serving yet
	MemberSuspect   MemberState = "suspect"
	MemberLeaving   MemberState = "leaving"
	MemberGone      MemberState = "gone"
)

// Observation is a member as the leader's membership has it.
type Observation struct {
	Name        Name                   `json:"Name"`
	Incarnation membership.Incarnation `json:"Incarnation"`
	Zone        string                 `json:"Zone"`
	Release     string                 `json:"Release"`
	Roles       membership.Roles       `json:"Roles"`
	Upstream    string                 `json:"Below"` // the upstream service that it is, empty if it is none
	Capacity    float64                `json:"Capacity"`
	State       MemberState            `json:"Why"`
}

// Member is a member that the fleet knows.
type Member struct {
	Observation
	StateSince      time.Duration `json:"Since"`  // fleet time
	PermitID        PermitID      `json:"Permit"` // its permit, queued or further; 0: none
	PreviousRelease string        `json:"Before"` // its release when the latest rollout started
	FailedAttempts  int           `json:"Tries"`  // permits of the rollout after which it came back on another release
}

func (s *State) observeAll(observations []Observation) Reply {
	for _, observation := range observations {
		s.observe(observation)
	}
	return Reply{OK: true}
}

// observe takes in a member as it is now, and ends its permit where that follows.
func (s *State) observe(observation Observation) {
	member := s.Members[observation.Name]
	if member == nil {
		// A member that was never here is not out when it is gone.
		if len(s.Members) >= s.Config.MaxMembers || observation.State == MemberGone {
			return
		}
		member = &Member{StateSince: s.Now}
		s.Members[observation.Name] = member
	}
	// A late observation of an earlier incarnation must not be taken for the present one's.
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
		s.recordReturn(member, permit)
	case permit.Stage != PermitBegun && permit.Incarnation != 0 && restarted: // the next incarnation holds nothing
		s.endPermit(permit, "its life was over before it began")
	case permit.Stage == PermitQueued && observation.State != MemberUp:
		s.endPermit(permit, "out already: "+string(observation.State))
	}
}

// forgetMember removes a member that is out and does not come back.
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
