package coordination

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/membership"
)

// defaultBeginTimeout applies to permits whose request sets no timeout.
const defaultBeginTimeout = 30 * time.Second

// PermitStage is the stage of a permit's life cycle. Its values are stored.
type PermitStage string

// The stages of a permit, in their order. Granted and begun permits count against the budgets, begun ones until their
// holder is up again.
const (
	PermitQueued  PermitStage = "queued"
	PermitGranted PermitStage = "granted" // its holder may begin it; until then it can be withdrawn
	PermitBegun   PermitStage = "begun"   // its holder goes out of service; never withdrawn
	PermitEnded   PermitStage = "ended"
)

// PermitPurpose is the purpose that a permit was requested for. Its values are stored. An operator's request may name
// another purpose, which is treated as neither a drain nor a rollout.
type PermitPurpose string

// The purposes that determine how a permit and its member are handled.
const (
	PurposeDrain    PermitPurpose = "drain"   // the member stays out of service until its operator starts it
	PurposeRollout  PermitPurpose = "release" // the member returns on the rollout's release
	PurposeRollback PermitPurpose = "back"    // the member returns on its previous release
)

// Permit allows one member to go out of service.
type Permit struct {
	ID             PermitID               `json:"Number"`
	Member         Name                   `json:"Member"`
	Incarnation    membership.Incarnation `json:"Of"` // of the member that holds it; 0 while it is queued
	RequestedBy    string                 `json:"By"`
	Purpose        PermitPurpose          `json:"Why"`
	Stage          PermitStage            `json:"Stage"`
	RequestedAt    time.Duration          `json:"Asked"`  // fleet time
	StageSince     time.Duration          `json:"At"`     // fleet time
	BeginTimeout   time.Duration          `json:"Span"`   // maximum time from being granted to being begun
	TimesOvertaken int                    `json:"Passed"` // number of later requests that were granted before it
	WaitReason     string                 `json:"Waits"`  // reason for waiting, as of the last check
	Outcome        string                 `json:"Outcome"`
}

// requestPermit queues a permit for a member. If the member already has a permit, no other one is queued and the reply
// contains the ID of the existing permit.
func (s *State) requestPermit(name Name, requestedBy string, purpose PermitPurpose, beginTimeout time.Duration) Reply {
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
	// A permit that can never be granted would wait forever. After MaxOvertakes grants of later permits, it would also
	// block the later permits of all groups that are reserved for it.
	if check := s.checkBudgets(member); check.impossible {
		return refused("never: %s", check.reason)
	}
	if beginTimeout <= 0 {
		beginTimeout = defaultBeginTimeout
	}
	s.LastPermitID++
	permit := &Permit{
		ID:           s.LastPermitID,
		Member:       name,
		RequestedBy:  requestedBy,
		Purpose:      purpose,
		Stage:        PermitQueued,
		RequestedAt:  s.Now,
		StageSince:   s.Now,
		BeginTimeout: beginTimeout,
	}
	s.Permits[permit.ID] = permit
	s.PermitQueue = append(s.PermitQueue, permit.ID)
	member.PermitID = permit.ID
	return Reply{OK: true, PermitID: permit.ID}
}

// grantPermits grants queued permits that fit the budgets, in the order of the requests. Later permits may overtake a
// permit that does not fit, up to Config.MaxOvertakes times. From then on the groups of members that its budgets select
// are reserved for it.
func (s *State) grantPermits() {
	if s.Halt != nil {
		for _, id := range s.PermitQueue {
			s.Permits[id].WaitReason = "halted"
		}
		return
	}
	var reserved []Selector
	isReserved := func(member *Member) bool {
		return slices.ContainsFunc(reserved, func(selector Selector) bool { return selector.matches(member.Observation) })
	}
	stillQueued := s.PermitQueue[:0]
	for _, id := range s.PermitQueue {
		permit := s.Permits[id]
		member := s.Members[permit.Member]
		check := s.checkBudgets(member)
		if check.impossible { // the budgets have changed since the request
			permit.Stage = PermitGranted // keeps endPermit from changing the queue that is being rebuilt
			s.endPermit(permit, "never: "+check.reason)
			continue
		}
		permit.WaitReason = check.reason
		if permit.WaitReason == "" && isReserved(member) {
			permit.WaitReason = "others have waited longer"
		}
		if permit.WaitReason == "" {
			s.grant(permit, member, stillQueued)
			continue
		}
		if permit.TimesOvertaken >= s.Config.MaxOvertakes {
			for budget := range s.budgetsOf(member) {
				reserved = append(reserved, budget.Selector)
			}
		}
		stillQueued = append(stillQueued, id)
	}
	s.PermitQueue = stillQueued
}

// grant grants a permit to the member. The permit overtakes those that are still queued before it.
func (s *State) grant(permit *Permit, member *Member, overtaken []PermitID) {
	for _, id := range overtaken {
		s.Permits[id].TimesOvertaken++
	}
	permit.Stage = PermitGranted
	permit.StageSince = s.Now
	permit.Incarnation = member.Incarnation
}

// beginPermit begins a granted permit. It is the last step at which a permit can be refused: the holder goes out of
// service only after it has learned that the coordinators agreed on this command. The holder of a permit that has
// expired or was withdrawn, for instance by a halt, has therefore not gone out of service under it, regardless of the
// holder's clock and of how long the holder was paused.
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
	// After every command, granted permits have been withdrawn if there is a halt, if they have expired or if a budget
	// is exceeded. A permit that is still granted may therefore begin.
	permit.Stage = PermitBegun
	permit.StageSince = s.Now
	return Reply{OK: true, PermitID: permit.ID}
}

// cancelPermit ends a permit that has not begun.
func (s *State) cancelPermit(command Command) Reply {
	permit := s.Permits[command.PermitID]
	switch {
	case permit == nil:
		return refused("permit %d is over", command.PermitID)
	case permit.Stage == PermitBegun:
		return refused("permit %d has begun, and finishes", command.PermitID)
	}
	s.endPermit(permit, "dropped by "+command.RequestedBy)
	return Reply{OK: true, PermitID: command.PermitID}
}

// expirePermits ends granted permits that were not begun in time or whose member is already unavailable. It also
// withdraws granted permits whose budgets are exceeded because other members crashed, the latest permit first.
func (s *State) expirePermits() {
	permits := s.permitsByID()
	slices.Reverse(permits)
	for _, permit := range permits {
		if permit.Stage != PermitGranted {
			continue
		}
		member := s.Members[permit.Member]
		exceeded := s.exceededBudget(member)
		switch {
		case s.Now-permit.StageSince >= permit.BeginTimeout:
			s.endPermit(permit, "not begun in time")
		case member.State != MemberUp:
			s.endPermit(permit, "out already: "+string(member.State))
		case exceeded != "":
			s.endPermit(permit, "withdrawn: "+exceeded)
		}
	}
}

// permitsByID returns the permits in the order of their IDs, so that every coordinator iterates over them in the same
// order.
func (s *State) permitsByID() []*Permit {
	permits := make([]*Permit, 0, len(s.Permits))
	for _, id := range slices.Sorted(maps.Keys(s.Permits)) {
		permits = append(permits, s.Permits[id])
	}
	return permits
}

// endPermit ends a permit in any stage. The outcome is stored and shown to operators.
func (s *State) endPermit(permit *Permit, outcome string) {
	if permit.Stage == PermitQueued {
		s.PermitQueue = slices.DeleteFunc(s.PermitQueue, func(id PermitID) bool { return id == permit.ID })
	}
	permit.Stage = PermitEnded
	permit.StageSince = s.Now
	permit.Outcome = outcome
	delete(s.Permits, permit.ID)
	if member := s.Members[permit.Member]; member != nil && member.PermitID == permit.ID {
		member.PermitID = 0
	}
	s.EndedPermits = appendBounded(s.EndedPermits, *permit, s.Config.MaxHistory)
}
