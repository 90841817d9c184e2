package coordination

import (
	"time"
)

// Halt is that nothing further begins.
type Halt struct {
	At     time.Duration `json:"At"`
	By     string        `json:"By"`
	Reason string        `json:"Why"`
}

// halt has nothing further begin, from the moment that it is agreed.
func (s *State) halt(requestedBy, reason string) {
	if s.Halt == nil {
		s.Halt = &Halt{s.Now, requestedBy, reason}
	}
	for _, permit := range s.permitsByID() {
		if permit.Stage == PermitGranted {
			s.endPermit(permit, "withdrawn: halted")
		}
	}
}
