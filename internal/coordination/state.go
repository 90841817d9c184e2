// Package coordination implements the replicated state machine of a fleet's coordinators: the members, the disruption
// budgets, the permits to go out of service, the rollout in progress, and the halt.
//
// The state machine has no side effects and is deterministic: the same commands in the same order produce the same
// state on every coordinator. Time is an input: each command carries the duration since its leader started, so no two
// clocks have to agree. docs/releases.md describes the states and the reasons why the guarantees hold.
package coordination

import (
	"slices"
	"time"
)

// Config holds the limits of the replicated state. It does not change during the life of a fleet and is the same on
// every coordinator.
type Config struct {
	MaxHistory         int           `json:"History"` // maximum number of entries in History, and in EndedPermits
	MaxIdempotencyKeys int           `json:"Keys"`    // maximum number of idempotency keys whose replies are kept
	MaxMembers         int           `json:"Members"` // maximum number of members at a time
	MaxQueuedPermits   int           `json:"Waiting"` // maximum number of queued permits
	MaxOvertakes       int           `json:"Passed"`  // maximum number of later requests granted before a queued one
	StalledAfter       time.Duration `json:"Stuck"`   // time after which a begun permit's holder is reported as stalled
}

// DefaultConfig returns the values that apply unless others are configured.
func DefaultConfig() Config {
	return Config{
		MaxHistory:         1000,
		MaxIdempotencyKeys: 4096,
		MaxMembers:         10_000,
		MaxQueuedPermits:   10_000,
		MaxOvertakes:       50,
		StalledAfter:       time.Minute,
	}
}

// State is the state on which the coordinators agree. Its fields may be read for display, but only Apply may change
// them. It is not safe for concurrent use: its owner must serialize the calls.
type State struct {
	Config         Config               `json:"Told"`
	Now            time.Duration        `json:"Now"`    // fleet time: the total time during which there was a leader
	Term           uint64               `json:"Term"`   // of the leader whose command was last applied
	LastLeaderTime time.Duration        `json:"LastAt"` // latest LeaderTime of the commands of that term
	Members        map[Name]*Member     `json:"Members"`
	Budgets        []DisruptionBudget   `json:"Budgets"`
	Permits        map[PermitID]*Permit `json:"Permits"` // permits that have not ended
	PermitQueue    []PermitID           `json:"Waiting"` // queued permits in the order of the requests
	LastPermitID   PermitID             `json:"Last"`
	Halt           *Halt                `json:"Halted"`  // nil: not halted
	Rollout        *Rollout             `json:"Release"` // the latest, in progress or not; nil: there was none
	Replies        map[string]Reply     `json:"Keys"`    // by idempotency key
	ReplyOrder     []string             `json:"KeyRing"` // keys of Replies, oldest first
	History        []HistoryEntry       `json:"History"` // latest last
	Sequence       uint64               `json:"Nth"`     // of the latest entry added to History
	EndedPermits   []Permit             `json:"Over"`    // latest last
}

// NewState returns the state before any command. It has no budget, so no member may go out of service.
func NewState(config Config) *State {
	return &State{
		Config:  config,
		Members: map[Name]*Member{},
		Permits: map[PermitID]*Permit{},
		Replies: map[string]Reply{},
	}
}

// Apply applies one command and its consequences, and returns the command's reply.
func (s *State) Apply(command Command) Reply {
	s.advanceClock(command)
	// A client that received no reply retries with the same key and must not get a second permit.
	if reply, found := s.Replies[command.IdempotencyKey]; found && command.IdempotencyKey != "" {
		return reply
	}
	reply := s.execute(command)
	s.storeReply(command.IdempotencyKey, reply)
	s.recordHistory(command, reply)
	s.expirePermits()
	s.advanceRollout()
	s.grantPermits()
	return reply
}

// storeReply stores the reply to a command that has an idempotency key. Beyond Config.MaxIdempotencyKeys it drops the
// oldest reply.
func (s *State) storeReply(key string, reply Reply) {
	if key == "" {
		return
	}
	s.Replies[key] = reply
	s.ReplyOrder = append(s.ReplyOrder, key)
	if len(s.ReplyOrder) > s.Config.MaxIdempotencyKeys {
		delete(s.Replies, s.ReplyOrder[0])
		s.ReplyOrder = slices.Delete(s.ReplyOrder, 0, 1)
	}
}

// recordHistory adds a command to the history. Ticks and observations are omitted because they are continuous.
func (s *State) recordHistory(command Command, reply Reply) {
	if command.Kind == KindTick || command.Kind == KindObserve {
		return
	}
	s.Sequence++
	entry := HistoryEntry{
		Sequence:    s.Sequence,
		At:          s.Now,
		RequestedBy: command.RequestedBy,
		Kind:        command.Kind,
		Summary:     command.summary(),
		Reply:       reply,
	}
	s.History = appendBounded(s.History, entry, s.Config.MaxHistory)
}

// appendBounded appends an item and drops the oldest items if there are more than the limit.
func appendBounded[T any](list []T, item T, limit int) []T {
	list = append(list, item)
	if excess := len(list) - limit; excess > 0 {
		list = slices.Delete(list, 0, excess)
	}
	return list
}

// advanceClock advances the fleet time. Only time that passes while one coordinator leads counts, measured by that
// coordinator's clock. Clocks that differ by an hour can therefore make a timeout longer when the leader changes, but
// never shorter.
func (s *State) advanceClock(command Command) {
	if command.Term != s.Term {
		s.Term = command.Term
		s.LastLeaderTime = command.LeaderTime
		return
	}
	if command.LeaderTime > s.LastLeaderTime {
		s.Now += command.LeaderTime - s.LastLeaderTime
		s.LastLeaderTime = command.LeaderTime
	}
}
