package client

import (
	"errors"
	"time"

	"lanewheel/internal/coordination"
)

// Bounds of a request, the same on both sides.
const (
	RequestTimeout  = 15 * time.Second // from the handshake to the response
	MaxRequestBytes = 1 << 20          // budgets and plans of thousands of lines
)

// ErrNoQuorum is that no majority of the coordinators can be reached to agree. Its text is part of the wire: it is
// how a response tells it.
var ErrNoQuorum = errors.New("no majority of stewards")

// RemoteError is an error that a coordinator answered with, other than ErrNoQuorum.
type RemoteError string

func (e RemoteError) Error() string { return string(e) }

// Request is what an operator, or a coordinator that wants to join, asks, as a line of JSON. Exactly one of its fields
// is set.
type Request struct {
	Command           *coordination.Command `json:"Command,omitempty"`
	Status            bool                  `json:"Status,omitempty"`
	History           bool                  `json:"History,omitempty"`
	Join              *JoinRequest          `json:"Join,omitempty"`
	RemoveCoordinator string                `json:"Leave,omitempty"` // its name, without the part of its folder
}

// JoinRequest is a coordinator that wants to become a voter.
type JoinRequest struct {
	ID   string `json:"ID"` // of its folder
	Addr string `json:"At"` // where the other coordinators dial it
}

// Response is the answer to a Request, as a line of JSON.
type Response struct {
	Error        string                      `json:"Error,omitempty"`
	Leader       string                      `json:"Leader,omitempty"` // address to ask instead
	Reply        *coordination.Reply         `json:"Reply,omitempty"`
	Status       *Status                     `json:"Status,omitempty"`
	History      []coordination.HistoryEntry `json:"History,omitempty"`
	EndedPermits []coordination.Permit       `json:"Over,omitempty"`
}

// Err is the error that the response tells, nil if it tells none: ErrNoQuorum or a RemoteError.
func (r Response) Err() error {
	switch r.Error {
	case "":
		return nil
	case ErrNoQuorum.Error():
		return ErrNoQuorum
	}
	return RemoteError(r.Error)
}

// SetErr has the response tell an error.
func (r *Response) SetErr(err error) {
	if errors.Is(err, ErrNoQuorum) {
		err = ErrNoQuorum // its text alone, by which the client knows it
	}
	r.Error = err.Error()
}

// Status is what is agreed, as one coordinator has it.
type Status struct {
	ID           string                     `json:"steward"`
	Leader       string                     `json:"leader"` // address, empty if none is known
	IsLeader     bool                       `json:"leads"`
	Term         uint64                     `json:"term"`
	AppliedIndex uint64                     `json:"index"`    // of the log
	Coordinators map[string]string          `json:"stewards"` // addresses by ID
	FleetTime    string                     `json:"now"`
	Halt         *coordination.Halt         `json:"halted,omitempty"`
	Rollout      *coordination.Rollout      `json:"release,omitempty"`
	Budgets      []coordination.BudgetUsage `json:"budgets"`
	Permits      []coordination.Permit      `json:"permits"`
	Unavailable  []coordination.Member      `json:"out"` // members that are out or have a permit
	MemberCount  int                        `json:"members"`
}
