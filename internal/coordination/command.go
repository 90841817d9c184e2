package coordination

import (
	"cmp"
	"fmt"
	"time"

	"lanewheel/internal/membership"
)

// Name is the name of a member.
type Name = membership.Name

// PermitID identifies a permit. IDs grow and are never used again.
type PermitID uint64

// Kind is what a command does. Its values are stored in the log.
type Kind string

// The kinds of command.
const (
	KindObserve       Kind = "see"     // members as the leader's membership has them
	KindSetBudgets    Kind = "budgets" // replaces all budgets
	KindRequestPermit Kind = "ask"     // a permit for one member
	KindBeginPermit   Kind = "begin"   // by the holder, before it goes out
	KindCancelPermit  Kind = "drop"    // a permit that has not begun
	KindForgetMember  Kind = "forget"  // a member that does not come back
	KindHalt          Kind = "halt"    // nothing further begins
	KindResume        Kind = "resume"  // ends a halt
	KindStartRollout  Kind = "release" // starts a rollout
	KindRollBack      Kind = "back"    // rolls the latest rollout back
	KindCanaryVerdict Kind = "verdict" // on a wave of the rollout
	KindTick          Kind = "tick"    // time passes
	KindDrain         Kind = "drain"   // requests permits for all members that match
	KindCancelDrain   Kind = "undrain" // cancels those of them that have not begun
)

// Command is one entry of the replicated log.
type Command struct {
	Term           uint64                 `json:"Term"` // of the leader that wrote it
	LeaderTime     time.Duration          `json:"At"`   // since that leader's process started, by its monotonic clock
	IdempotencyKey string                 `json:"Key"`  // the same key is the same command; empty: each one counts
	RequestedBy    string                 `json:"By"`
	Kind           Kind                   `json:"Do"`
	Observations   []Observation          `json:"Seen"`    // of KindObserve
	Budgets        []DisruptionBudget     `json:"Budgets"` // of KindSetBudgets
	Member         Name                   `json:"Member"`
	Incarnation    membership.Incarnation `json:"Of"`     // of the member, with KindBeginPermit
	Selector       Selector               `json:"Group"`  // of KindDrain and KindCancelDrain
	PermitID       PermitID               `json:"Number"` // of KindBeginPermit and KindCancelPermit
	BeginTimeout   time.Duration          `json:"Span"`   // of the permits requested; 0: the default
	Reason         string                 `json:"Why"`    // for people; with KindRequestPermit the purpose
	Plan           *RolloutPlan           `json:"Plan"`   // of KindStartRollout
	RolloutName    string                 `json:"Release"`
	Wave           int                    `json:"Wave"` // of KindCanaryVerdict, from 0
	Healthy        bool                   `json:"Good"` // of KindCanaryVerdict
}

// summary describes the command in a few words, for the history.
func (c Command) summary() string {
	switch {
	case c.Kind == KindStartRollout && c.Plan != nil:
		return c.Plan.Name + " to " + c.Plan.TargetRelease
	case c.Kind == KindCanaryVerdict:
		return fmt.Sprintf("%s wave %d good=%v %s", c.RolloutName, c.Wave+1, c.Healthy, c.Reason)
	case c.Kind == KindSetBudgets:
		return fmt.Sprintf("%d budgets", len(c.Budgets))
	case c.PermitID > 0:
		return fmt.Sprintf("permit %d %s", c.PermitID, c.Member)
	case c.Member != "":
		return string(c.Member)
	}
	return cmp.Or(c.Reason, c.Selector.String())
}

// Reply is the outcome of a command.
type Reply struct {
	OK        bool       `json:"OK"`
	Reason    string     `json:"Why"` // why it was refused, or what it waits for
	PermitID  PermitID   `json:"Number"`
	PermitIDs []PermitID `json:"Numbers,omitempty"`
}

// refused is the reply to a command that changes nothing. The reason is shown to operators.
func refused(format string, args ...any) Reply { return Reply{Reason: fmt.Sprintf(format, args...)} }

// HistoryEntry is one command of the history and its outcome.
type HistoryEntry struct {
	Sequence    uint64        `json:"Nth"`
	At          time.Duration `json:"Now"` // fleet time
	RequestedBy string        `json:"By"`
	Kind        Kind          `json:"Do"`
	Summary     string        `json:"What"`
	Reply
}

// execute carries out the command itself, without what follows from it.
func (s *State) execute(command Command) Reply {
	switch command.Kind {
	case KindTick:
		return Reply{OK: true}
	case KindObserve:
		return s.observeAll(command.Observations)
	case KindSetBudgets:
		return s.setBudgets(command.Budgets)
	case KindRequestPermit:
		purpose := cmp.Or(PermitPurpose(command.Reason), PurposeDrain)
		return s.requestPermit(command.Member, command.RequestedBy, purpose, command.BeginTimeout)
	case KindDrain:
		return s.drain(command)
	case KindCancelDrain:
		return s.cancelDrain(command)
	case KindBeginPermit:
		return s.beginPermit(command)
	case KindCancelPermit:
		return s.cancelPermit(command)
	case KindForgetMember:
		return s.forgetMember(command)
	case KindHalt:
		s.halt(command.RequestedBy, cmp.Or(command.Reason, "told to"))
		return Reply{OK: true}
	case KindResume:
		return s.resume()
	case KindStartRollout:
		return s.startRollout(command)
	case KindRollBack:
		return s.rollBack(command)
	case KindCanaryVerdict:
		return s.applyVerdict(command)
	}
	return refused("no command %q", command.Kind)
}
