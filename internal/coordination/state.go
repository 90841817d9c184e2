// Package coordination holds what the coordinators of a fleet have agreed on: its members, disruption budgets, permits
// to go out, the rollout in progress, and whether everything is halted.
//
// It is pure and deterministic: the same commands in the same order make the same state on every coordinator. Time
// comes in with a command, as a duration since its leader started, so that no two clocks have to agree.
// docs/releases.md has the states and why they hold.
package coordination

import (
	"slices"
	"time"
)

// Config holds for the whole life of a fleet and is the same at every coordinator.
type Config struct {
	MaxHistory         int           `json:"History"` // entries of History, and of EndedPermits, that are kept
	MaxIdempotencyKeys int           `json:"Keys"`    // keys of commands whose replies are kept
	MaxMembers         int           `json:"Members"` // members known at a time
	MaxQueuedPermits   int           `json:"Waiting"` // permits that may be queued
	MaxOvertakes       int           `json:"Passed"`  // later requests that may be granted before a queued one
	StalledAfter       time.Duration `json:"Stuck"`   // a member out by a permit for longer is reported as stalled
}

// DefaultConfig returns the values that hold where nothing is configured.
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

// State is all that is agreed. Whoever shows it may read its fields; only Apply changes them. It is not safe for
// concurrent use: its owner serializes the calls.
type State struct {
	Config         Config               `json:"Told"`
	Now            time.Duration        `json:"Now"`    // fleet time: the sum of the time during which there was a leader
	Term           uint64               `json:"Term"`   // of the leader whose command was applied last
	LastLeaderTime time.Duration        `json:"LastAt"` // LeaderTime of that command, or the latest of its term
	Members        map[Name]*Member     `json:"Members"`
	Budgets        []DisruptionBudget   `json:"Budgets"`
	Permits        map[PermitID]*Permit `json:"Permits"` // that have not ended
	PermitQueue    []PermitID           `json:"Waiting"` // queued permits, in the order of the requests
	LastPermitID   PermitID             `json:"Last"`
	Halt           *Halt                `json:"Halted"`  // nil: not halted
	Rollout        *Rollout             `json:"Release"` // the latest, in progress or over; nil: there was none
	Replies        map[string]Reply     `json:"Keys"`    // by idempotency key
	ReplyOrder     []string             `json:"KeyRing"` // the keys of Replies, the oldest first
	History        []HistoryEntry       `json:"History"` // the latest last
	Sequence       uint64               `json:"Nth"`     // of the latest entry that History got
	EndedPermits   []Permit             `json:"Over"`    // the latest last
}

// NewState returns the state of a fleet that has agreed on nothing: without a budget no member may go out.
func NewState(config Config) *State {
	return &State{
		Config:  config,
		Members: map[Name]*Member{},
		Permits: map[PermitID]*Permit{},
		Replies: map[string]Reply{},
	}
}

// Apply carries out one command and all that follows from it, and returns the command's reply.
func (s *State) Apply(command Command) Reply {
	s.advanceClock(command)
	// A client that got no answer asks again with the same key: it must not get a second permit.
	if reply, known := s.Replies[command.IdempotencyKey]; known && command.IdempotencyKey != "" {
		return reply
	}
	reply := s.execute(command)
	s.rememberReply(command.IdempotencyKey, reply)
	s.record(command, reply)
	s.expirePermits()
	s.advanceRollout()
	s.grantPermits()
	return reply
}

// rememberReply keeps the reply to a command that has an idempotency key.
func (s *State) rememberReply(key string, reply Reply) {
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

// record enters a command into the history. Ticks and observations come all the time and are left out.
func (s *State) record(command Command, reply Reply) {
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

// appendBounded appends an item and drops the oldest ones over the limit.
func appendBounded[T any](list []T, item T, limit int) []T {
	list = append(list, item)
	if excess := len(list) - limit; excess > 0 {
		list = slices.Delete(list, 0, excess)
	}
	return list
}

// advanceClock moves the fleet's time on. Only what passes while one coordinator leads counts, by its own clock:
// clocks that differ by an hour can make a timeout longer when the leader changes, and never shorter.
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
