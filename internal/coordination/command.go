package coordination

import (
	"cmp"
	"fmt"
	"time"

	"lanewheel/internal/membership"
)

// Name is the name of a member.
type Name = membership.Name

// PermitID identifies a permit. IDs are assigned in increasing order and are never reused.
type PermitID uint64

// Kind is the kind of a command. Its values are stored in the log.
type Kind string

// The kinds of commands.
const (
	KindObserve       Kind = "see"     // records members as the leader's membership reports them
	KindSetBudgets    Kind = "budgets" // replaces all budgets
	KindRequestPermit Kind = "ask"     // requests a permit for one member
	KindBeginPermit   Kind = "begin"   // begins a granted permit; its holder requests this before it goes out of service
	KindCancelPermit  Kind = "drop"    // cancels a permit that has not begun
	KindForgetMember  Kind = "forget"  // removes a member that is not expected to return
	KindHalt          Kind = "halt"    // stops permits from being granted or begun
	KindResume        Kind = "resume"  // ends a halt
	KindStartRollout  Kind = "release" // starts a rollout
	KindRollBack      Kind = "back"    // rolls the latest rollout back
	KindCanaryVerdict Kind = "verdict" // records the canary verdict on a wave of the rollout
	KindTick          Kind = "tick"    // advances the fleet time
	KindDrain         Kind = "drain"   // requests permits for all members that the selector matches
	KindCancelDrain   Kind = "undrain" // cancels permits to drain that have not begun
)

// Command is one entry of the replicated log.
type Command struct {
	Term           uint64                 `json:"Term"` // of the leader that proposed it
	LeaderTime     time.Duration          `json:"At"`   // since that leader's process started, by its monotonic clock
	IdempotencyKey string                 `json:"Key"`  // a command is executed once per key; empty: always
	RequestedBy    string                 `json:"By"`
	Kind           Kind                   `json:"Do"`
	Observations   []Observation          `json:"Seen"`    // for KindObserve
	Budgets        []DisruptionBudget     `json:"Budgets"` // for KindSetBudgets
	Member         Name                   `json:"Member"`
	Incarnation    membership.Incarnation `json:"Of"`      // of Member, for KindBeginPermit
	Selector       Selector               `json:"Group"`   // for KindDrain and KindCancelDrain
	PermitID       PermitID               `json:"Number"`  // for KindBeginPermit and KindCancelPermit
	BeginTimeout   time.Duration          `json:"Span"`    // of the requested permits; 0: defaultBeginTimeout
	Reason         string                 `json:"Why"`     // for operators; the purpose for KindRequestPermit
	Plan           *RolloutPlan           `json:"Plan"`    // for KindStartRollout
	RolloutName    string                 `json:"Release"` // for KindCanaryVerdict
	Wave           int                    `json:"Wave"`    // for KindCanaryVerdict, from 0
	Healthy        bool                   `json:"Good"`    // for KindCanaryVerdict
}

// summary returns a short description of the command for the history.
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
	Reason    string     `json:"Why"` // reason for a refusal; if OK is set, the stage of the member's existing permit
	PermitID  PermitID   `json:"Number"`
	PermitIDs []PermitID `json:"Numbers,omitempty"`
}

// refused returns the reply to a refused command, which changes nothing. The reason is shown to operators.
func refused(format string, args ...any) Reply { return Reply{Reason: fmt.Sprintf(format, args...)} }

// HistoryEntry is one command in the history with its reply.
type HistoryEntry struct {
	Sequence    uint64        `json:"Nth"`
	At          time.Duration `json:"Now"` // fleet time
	RequestedBy string        `json:"By"`
	Kind        Kind          `json:"Do"`
	Summary     string        `json:"What"`
	Reply
}

// execute applies only the command. Apply then expires permits, advances the rollout and grants permits.
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
