package client

import (
	"lanewheel/internal/coordination"
)

// Request is what an operator, or a steward that wants to join, asks. One of its fields is set.
type Request struct {
	Command           *coordination.Command `json:"Command,omitempty"`
	Status            bool                  `json:"Status,omitempty"`
	History           bool                  `json:"History,omitempty"`
	Join              *JoinRequest          `json:"Join,omitempty"`
	RemoveCoordinator string                `json:"Leave,omitempty"`
}

// JoinRequest is a steward that wants to be one of those that agree.
type JoinRequest struct {
	ID   string `json:"ID"`
	Addr string `json:"At"`
}

// Response is what comes back. Leader, where it is set, is whom to ask instead.
type Response struct {
	Error        string                      `json:"Error,omitempty"`
	Leader       string                      `json:"Leader,omitempty"`
	Reply        *coordination.Reply         `json:"Reply,omitempty"`
	Status       *Status                     `json:"Status,omitempty"`
	History      []coordination.HistoryEntry `json:"History,omitempty"`
	EndedPermits []coordination.Permit       `json:"Over,omitempty"`
}

// Status is what is agreed, for whoever looks.
type Status struct {
	ID           string                     `json:"steward"`
	Leader       string                     `json:"leader"`
	IsLeader     bool                       `json:"leads"`
	Term         uint64                     `json:"term"`
	AppliedIndex uint64                     `json:"index"` // of the log
	Coordinators map[string]string          `json:"stewards"`
	FleetTime    string                     `json:"now"`
	Halt         *coordination.Halt         `json:"halted,omitempty"`
	Rollout      *coordination.Rollout      `json:"release,omitempty"`
	Budgets      []coordination.BudgetUsage `json:"budgets"`
	Permits      []coordination.Permit      `json:"permits"`
	Unavailable  []coordination.Member      `json:"out"`
	MemberCount  int                        `json:"members"`
}
