package coordination

import (
	"cmp"
	"fmt"
	"time"

	"lanewheel/internal/membership"
)

// Name is a member's; Number is a permit's, and fences: a later permit has a higher one.
type (
	Name     = membership.Name
	PermitID uint64
)

// Kind is what a command does.
type Kind string

const (
	KindObserve       Kind = "see"
	KindSetBudgets    Kind = "budgets"
	KindRequestPermit Kind = "ask"     // for a permit
	KindBeginPermit   Kind = "begin"   // a permit, by its holder
	KindCancelPermit  Kind = "drop"    // a permit that has not begun
	KindForgetMember  Kind = "forget"  // a member that does not come back
	KindHalt          Kind = "halt"    // all
	KindResume        Kind = "resume"  // all
	KindStartRollout  Kind = "release" // start one
	KindRollBack      Kind = "back"    // the way back
	KindCanaryVerdict Kind = "verdict" // on a wave
	KindTick          Kind = "tick"    // time passes
	KindDrain         Kind = "drain"   // ask for all of a group
	KindCancelDrain   Kind = "undrain" // drop those that have not begun
)

// Command is one line of the log.
type Command struct {
	Term           uint64                 `json:"Term"` // of the leader who wrote it
	LeaderTime     time.Duration          `json:"At"`   // since that began to lead, by a clock that does not jump
	IdempotencyKey string                 `json:"Key"`  // the same key is the same command, however often it comes; empty: each counts
	RequestedBy    string                 `json:"By"`
	Kind           Kind                   `json:"Do"`
	Observations   []Observation          `json:"Seen"`
	Budgets        []DisruptionBudget     `json:"Budgets"`
	Member         Name                   `json:"Member"`
	Incarnation    membership.Incarnation `json:"Of"`
	Selector       Selector               `json:"Group"`
	PermitID       PermitID               `json:"Number"`
	BeginTimeout   time.Duration          `json:"Span"`
	Reason         string                 `json:"Why"`
	Plan           *RolloutPlan           `json:"Plan"`
	RolloutName    string                 `json:"Release"` // whose verdict
	Wave           int                    `json:"Wave"`
	Healthy        bool                   `json:"Good"`
}

// Reply is what became of a command.
type Reply struct {
	OK        bool       `json:"OK"`
	Reason    string     `json:"Why"` // what is wrong, or what is waited for
	PermitID  PermitID   `json:"Number"`
	PermitIDs []PermitID `json:"Numbers,omitempty"`
}

// HistoryEntry is one command of the history.
type HistoryEntry struct {
	Sequence    uint64        `json:"Nth"`
	At          time.Duration `json:"Now"`
	RequestedBy string        `json:"By"`
	Kind        Kind          `json:"Do"`
	Summary     string        `json:"What"`
	Reply
}

// summary is a command in a few words.
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

func refused(format string, args ...any) Reply { return Reply{Reason: fmt.Sprintf(format, args...)} }
