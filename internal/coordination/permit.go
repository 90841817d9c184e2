package coordination

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/membership"
)

// PermitStage is how far a permit is.
type PermitStage string

const (
	PermitQueued  PermitStage = "queued"
	PermitGranted PermitStage = "granted" // it may begin; until it says that it does, the permit can be withdrawn
	PermitBegun   PermitStage = "begun"   // it goes out; this is never taken back, and counts until it is up again
	PermitEnded   PermitStage = "ended"
)

// Permit is leave for one member to go out.
type Permit struct {
	ID           PermitID               `json:"Number"`
	Member       Name                   `json:"Member"`
	Incarnation  membership.Incarnation `json:"Of"` // the life that has it; 0 while it waits
	RequestedBy  string                 `json:"By"`
	Purpose      string                 `json:"Why"` // drain, release, back
	Stage        PermitStage            `json:"Stage"`
	RequestedAt  time.Duration          `json:"Asked"`
	StageSince   time.Duration          `json:"At"`      // when it came into its stage
	BeginTimeout time.Duration          `json:"Span"`    // from granted until it has to begin
	Overtakes    int                    `json:"Passed"`  // later ones that were granted before it
	WaitReason   string                 `json:"Waits"`   // for what, as last looked
	Outcome      string                 `json:"Outcome"` // how it ended
}

// requestPermit has a member wait for its permit.
func (s *State) requestPermit(name Name, requestedBy, purpose string, beginTimeout time.Duration) Reply {
	member := s.Members[name]
	switch {
	case member == nil:
		return refused("no member %q", name)
	case member.PermitID > 0:
		permit := s.Permits[member.PermitID]
		return Reply{OK: true, PermitID: permit.ID, Reason: "it has one: " + string(permit.Stage)}
	case member.State != MemberUp:
		return refused("%s is out: %s", name, member.State)
	case len(s.PermitQueue) >= s.Config.MaxQueuedPermits:
		return refused("%d wait already", len(s.PermitQueue))
	}
	// Danger: what can never be granted waits for ever, and everybody behind it with it.
	if cause, impossible := s.checkBudgets(member); impossible {
		return refused("never: %s", cause)
	}
	if beginTimeout <= 0 {
		beginTimeout = 30 * time.Second
	}
	s.LastPermitID++
	permit := &Permit{ID: s.LastPermitID, Member: name, RequestedBy: requestedBy, Purpose: purpose, Stage: PermitQueued, RequestedAt: s.Now, StageSince: s.Now, BeginTimeout: beginTimeout}
	s.Permits[permit.ID] = permit
	s.PermitQueue = append(s.PermitQueue, permit.ID)
	member.PermitID = permit.ID
	return Reply{OK: true, PermitID: permit.ID}
}

// grantPermits gives leave to whoever fits, in the order of asking. One that does not fit lets others by, so many times; then what it waits for is kept
// free for it.
func (s *State) grantPermits() {
	if s.Halt != nil {
		for _, id := range s.PermitQueue {
			s.Permits[id].WaitReason = "halted"
		}
		return
	}
	var reserved []Selector // groups in which nobody goes before one that was passed over too often
	stillQueued := s.PermitQueue[:0]
	for _, id := range s.PermitQueue {
		permit := s.Permits[id]
		member := s.Members[permit.Member]
		reason, impossible := s.checkBudgets(member)
		switch {
		case impossible: // the budgets have changed under it
			permit.Stage = PermitGranted // it is off the queue already
			s.endPermit(permit, "never: "+reason)
			continue
		case reason == "" && slices.ContainsFunc(reserved, func(selector Selector) bool { return selector.matches(member.Observation) }):
			reason = "others have waited longer"
		}
		if permit.WaitReason = reason; reason != "" {
			if permit.Overtakes >= s.Config.MaxOvertakes {
				for _, budget := range s.Budgets {
					if budget.Selector.matches(member.Observation) {
						reserved = append(reserved, budget.Selector)
					}
				}
			}
			stillQueued = append(stillQueued, id)
			continue
		}
		for _, earlier := range stillQueued {
			s.Permits[earlier].Overtakes++
		}
		permit.Stage, permit.StageSince, permit.Incarnation = PermitGranted, s.Now, member.Incarnation
	}
	s.PermitQueue = stillQueued
}

// beginPermit is the last moment at which a permit can be refused: its holder goes out when it has heard that this was agreed, and not before. So
// what is withdrawn, halted or expired has not begun, whatever clock the holder goes by and however long it slept.
func (s *State) beginPermit(command Command) Reply {
	permit := s.Permits[command.PermitID]
	switch {
	case permit == nil:
		return refused("permit %d is over", command.PermitID)
	case permit.Member != command.Member || permit.Incarnation != command.Incarnation:
		return refused("permit %d is another's", command.PermitID)
	case permit.Stage == PermitBegun:
		return Reply{OK: true, PermitID: permit.ID}
	case permit.Stage != PermitGranted:
		return refused("permit %d is %s", command.PermitID, permit.Stage)
	}
	// Behind each command what is halted, has run out or overdraws a budget is withdrawn: what is still granted may begin.
	permit.Stage, permit.StageSince = PermitBegun, s.Now
	return Reply{OK: true, PermitID: permit.ID}
}

// expirePermits ends permits that were not begun in time, and withdraws those that have not begun where crashes have overdrawn a budget, the last one
// granted first.
func (s *State) expirePermits() {
	permits := s.permitsByID()
	slices.Reverse(permits)
	for _, permit := range permits {
		if permit.Stage != PermitGranted {
			continue
		}
		member := s.Members[permit.Member]
		switch overdrawn := s.overdrawnBudget(member); {
		case s.Now-permit.StageSince >= permit.BeginTimeout:
			s.endPermit(permit, "not begun in time")
		case member.State != MemberUp:
			s.endPermit(permit, "out already: "+string(member.State))
		case overdrawn != "":
			s.endPermit(permit, "withdrawn: "+overdrawn)
		}
	}
}

// permitsByID gives the permits by number.
func (s *State) permitsByID() (permits []*Permit) {
	for _, id := range slices.Sorted(maps.Keys(s.Permits)) {
		permits = append(permits, s.Permits[id])
	}
	return permits
}

// endPermit is the end of a permit.
func (s *State) endPermit(permit *Permit, outcome string) {
	if permit.Stage == PermitQueued {
		s.PermitQueue = slices.DeleteFunc(s.PermitQueue, func(id PermitID) bool { return id == permit.ID })
	}
	permit.Stage, permit.StageSince, permit.Outcome = PermitEnded, s.Now, outcome
	delete(s.Permits, permit.ID)
	if member := s.Members[permit.Member]; member != nil && member.PermitID == permit.ID {
		member.PermitID = 0
	}
	s.EndedPermits = append(s.EndedPermits, *permit)
	if len(s.EndedPermits) > s.Config.MaxHistory {
		s.EndedPermits = slices.Delete(s.EndedPermits, 0, len(s.EndedPermits)-s.Config.MaxHistory)
	}
}
