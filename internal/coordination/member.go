package coordination

import (
	"time"

	"lanewheel/internal/membership"
)

// MemberState is why a member is out.
type MemberState string

const (
	MemberUp        MemberState = ""
	MemberWarmingUp MemberState = "cold"    // it has come up, and is not at its full pace
	MemberJoining   MemberState = "joining" // it is there, and does not serve yet
	MemberSuspect   MemberState = "suspect"
	MemberLeaving   MemberState = "leaving"
	MemberGone      MemberState = "gone"
)

// Observation is a member as a steward's membership has it.
type Observation struct {
	Name        Name                   `json:"Name"`
	Incarnation membership.Incarnation `json:"Incarnation"`
	Zone        string                 `json:"Zone"`
	Release     string                 `json:"Release"`
	Roles       membership.Roles       `json:"Roles"`
	Upstream    string                 `json:"Below"` // the service that it is, or stands beside
	Capacity    float64                `json:"Capacity"`
	State       MemberState            `json:"Why"` // why it is out
}

// Member is one that the fleet knows.
type Member struct {
	Observation
	StateSince      time.Duration `json:"Since"`  // in this state
	PermitID        PermitID      `json:"Permit"` // that it has, or waits for
	PreviousRelease string        `json:"Before"` // its release before the one that is being brought out
	FailedAttempts  int           `json:"Tries"`  // permits of the release that brought it back as it was
}

// observe takes a member as it is now.
func (s *State) observe(observation Observation) {
	member := s.Members[observation.Name]
	if member == nil {
		if len(s.Members) >= s.Config.MaxMembers || observation.State == MemberGone { // who was never here is not out
			return
		}
		member = &Member{StateSince: s.Now}
		s.Members[observation.Name] = member
	}
	// Danger: an old life's word, which came late, taken for the new one's.
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
	switch {
	case permit.Stage == PermitBegun && observation.State == MemberUp && observation.Incarnation != permit.Incarnation:
		s.endPermit(permit, "back")
		s.recordReturn(member, permit)
	case permit.Stage != PermitBegun && permit.Incarnation != 0 && observation.Incarnation != permit.Incarnation: // who held it is over; the next life holds nothing
		s.endPermit(permit, "its life was over before it began")
	case permit.Stage == PermitQueued && observation.State != MemberUp: // it is out anyway
		s.endPermit(permit, "out already: "+string(observation.State))
	}
}
