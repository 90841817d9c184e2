package coordination

import "time"

// Halt is that nothing further begins, and since when.
type Halt struct {
	At     time.Duration `json:"At"` // fleet time
	By     string        `json:"By"`
	Reason string        `json:"Why"`
}

// halt lets nothing further begin. What has begun goes on.
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
