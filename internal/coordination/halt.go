package coordination

import "time"

// Halt describes the halt in effect. During a halt no permit is granted or begun and no rollout advances.
type Halt struct {
	At     time.Duration `json:"At"` // fleet time
	By     string        `json:"By"`
	Reason string        `json:"Why"`
}

// halt withdraws the granted permits and stops further ones from being granted or begun. Permits that have begun
// continue. If a halt is already in effect, its time, requester and reason do not change.
func (s *State) halt(requestedBy, reason string) {
	if s.Halt == nil {
		s.Halt = &Halt{At: s.Now, By: requestedBy, Reason: reason}
	}
	for _, permit := range s.permitsByID() {
		if permit.Stage == PermitGranted {
			s.endPermit(permit, "withdrawn: halted")
		}
	}
}

func (s *State) resume() Reply {
	if s.Halt == nil {
		return refused("nothing is halted")
	}
	s.Halt = nil
	if s.Rollout != nil {
		s.Rollout.restartAnalysis(s.Now)
	}
	return Reply{OK: true}
}
