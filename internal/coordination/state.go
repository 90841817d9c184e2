// Package coordination is what a fleet has agreed on: who is there, how many may be out at once, who has leave to go, which release goes where, and
// whether all of it is halted. It is pure and deterministic: commands in, state out, the same on every steward; time comes in with
// the command, as a span since its leader began, so that no two clocks have to agree. docs/releases.md has the states and why they hold.
package coordination

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Config is what holds for the whole of a fleet's life, the same at every steward.
type Config struct {
	MaxHistory         int           `json:"History"` // commands that are remembered with what became of them
	MaxIdempotencyKeys int           `json:"Keys"`    // keys of commands whose replies are remembered
	MaxMembers         int           `json:"Members"` // known at a time
	MaxQueuedPermits   int           `json:"Waiting"` // permits that may wait
	MaxOvertakes       int           `json:"Passed"`  // times that one may be passed over by a later one
	StalledAfter       time.Duration `json:"Stuck"`   // how long one that went out may stay out before it is said that it does not come back
}

// DefaultConfig is what holds without being told.
func DefaultConfig() Config {
	return Config{MaxHistory: 1000, MaxIdempotencyKeys: 4096, MaxMembers: 10_000, MaxQueuedPermits: 10_000, MaxOvertakes: 50, StalledAfter: time.Minute}
}

// State is all that is agreed. Its fields are read by whoever shows it; only Apply changes them.
type State struct {
	Config         Config               `json:"Told"`
	Now            time.Duration        `json:"Now"` // the sum of the time that leaders were there
	Term           uint64               `json:"Term"`
	LastLeaderTime time.Duration        `json:"LastAt"`
	Members        map[Name]*Member     `json:"Members"`
	Budgets        []DisruptionBudget   `json:"Budgets"`
	Permits        map[PermitID]*Permit `json:"Permits"` // that have not ended
	PermitQueue    []PermitID           `json:"Waiting"` // in the order of asking
	LastPermitID   PermitID             `json:"Last"`
	Halt           *Halt                `json:"Halted"`
	Rollout        *Rollout             `json:"Release"`
	Replies        map[string]Reply     `json:"Keys"`
	ReplyOrder     []string             `json:"KeyRing"`
	History        []HistoryEntry       `json:"History"`
	Sequence       uint64               `json:"Nth"`
	EndedPermits   []Permit             `json:"Over"` // that ended, the latest last
}

// NewState is a fleet that has agreed on nothing: without a budget nobody goes out.
func NewState(config Config) *State {
	return &State{Config: config, Members: map[Name]*Member{}, Permits: map[PermitID]*Permit{}, Replies: map[string]Reply{}}
}

// Apply carries one command out.
func (s *State) Apply(command Command) Reply {
	s.advanceClock(command)
	if command.IdempotencyKey != "" {
		if reply, known := s.Replies[command.IdempotencyKey]; known { // Danger: a client that heard no answer asks again, and gets a second permit
			return reply
		}
	}
	reply := s.execute(command)
	if command.IdempotencyKey != "" {
		s.Replies[command.IdempotencyKey] = reply
		s.ReplyOrder = append(s.ReplyOrder, command.IdempotencyKey)
		if len(s.ReplyOrder) > s.Config.MaxIdempotencyKeys {
			delete(s.Replies, s.ReplyOrder[0])
			s.ReplyOrder = slices.Delete(s.ReplyOrder, 0, 1)
		}
	}
	if command.Kind != KindTick && command.Kind != KindObserve {
		s.Sequence++
		s.History = append(s.History, HistoryEntry{s.Sequence, s.Now, command.RequestedBy, command.Kind, command.summary(), reply})
		if len(s.History) > s.Config.MaxHistory {
			s.History = slices.Delete(s.History, 0, len(s.History)-s.Config.MaxHistory)
		}
	}
	s.expirePermits()
	s.advanceRollout()
	s.grantPermits()
	return reply
}

// advanceClock has the time go on. Danger: stewards' clocks that are an hour apart. Only what passes while one leads counts, by his own clock, so a new one
// can make spans longer and never shorter.
func (s *State) advanceClock(command Command) {
	if command.Term != s.Term {
		s.Term, s.LastLeaderTime = command.Term, command.LeaderTime
		return
	}
	if command.LeaderTime > s.LastLeaderTime {
		s.Now += command.LeaderTime - s.LastLeaderTime
		s.LastLeaderTime = command.LeaderTime
	}
}

func (s *State) execute(command Command) Reply {
	switch command.Kind {
	case KindTick:
		return Reply{OK: true}
	case KindObserve:
		for _, observation := range command.Observations {
			s.observe(observation)
		}
		return Reply{OK: true}
	case KindSetBudgets:
		for _, budget := range command.Budgets {
			if budget.Name == "" || budget.MaxUnavailable < 0 && !(budget.MaxUnavailableFraction >= 0 && budget.MaxUnavailableFraction <= 1) || math.IsNaN(budget.MinAvailableCapacity) {
				return refused("budget %q: wants a name, and most or a share from 0 to 1", budget.Name)
			}
		}
		s.Budgets = slices.Clone(command.Budgets)
		return Reply{OK: true}
	case KindRequestPermit:
		return s.requestPermit(command.Member, command.RequestedBy, cmp.Or(command.Reason, "drain"), command.BeginTimeout)
	case KindDrain:
		reply := Reply{OK: true}
		for _, name := range slices.Sorted(maps.Keys(s.Members)) {
			member := s.Members[name]
			if !command.Selector.matches(member.Observation) || member.State != MemberUp || member.PermitID > 0 {
				continue
			}
			if requested := s.requestPermit(name, command.RequestedBy, "drain", command.BeginTimeout); requested.OK {
				reply.PermitIDs = append(reply.PermitIDs, requested.PermitID)
			} else {
				return Reply{Reason: string(name) + ": " + requested.Reason, PermitIDs: reply.PermitIDs}
			}
		}
		if len(reply.PermitIDs) == 0 {
			return refused("nobody in %v is up and without a permit", command.Selector)
		}
		return reply
	case KindCancelDrain:
		reply := Reply{OK: true}
		for _, permit := range s.permitsByID() {
			if member := s.Members[permit.Member]; permit.Purpose == "drain" && permit.Stage != PermitBegun && (command.Member == permit.Member || command.Member == "" && member != nil && command.Selector.matches(member.Observation)) {
				reply.PermitIDs = append(reply.PermitIDs, permit.ID)
				s.endPermit(permit, "dropped by "+command.RequestedBy)
			}
		}
		return reply
	case KindBeginPermit:
		return s.beginPermit(command)
	case KindCancelPermit:
		permit := s.Permits[command.PermitID]
		switch {
		case permit == nil:
			return refused("permit %d is over", command.PermitID)
		case permit.Stage == PermitBegun:
			return refused("permit %d has begun, and finishes", command.PermitID)
		}
		s.endPermit(permit, "dropped by "+command.RequestedBy)
		return Reply{OK: true, PermitID: command.PermitID}
	case KindForgetMember:
		member := s.Members[command.Member]
		switch {
		case member == nil:
			return refused("no member %q", command.Member)
		case member.State == MemberUp || member.State == MemberWarmingUp || member.State == MemberJoining:
			return refused("%s is there", command.Member)
		}
		if permit := s.Permits[member.PermitID]; permit != nil {
			s.endPermit(permit, "forgotten by "+command.RequestedBy)
		}
		delete(s.Members, command.Member)
		return Reply{OK: true}
	case KindHalt:
		s.halt(command.RequestedBy, cmp.Or(command.Reason, "told to"))
		return Reply{OK: true}
	case KindResume:
		if s.Halt == nil {
			return refused("nothing is halted")
		}
		s.Halt = nil
		if s.Rollout != nil {
			s.Rollout.restartAnalysis(s.Now)
		}
		return Reply{OK: true}
	case KindStartRollout:
		return s.startRollout(command)
	case KindRollBack:
		return s.rollBack(command)
	case KindCanaryVerdict:
		return s.applyVerdict(command)
	}
	return refused("no command %q", command.Kind)
}
