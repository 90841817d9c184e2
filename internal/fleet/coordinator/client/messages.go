package client

import (
	"errors"
	"time"

	"lanewheel/internal/coordination"
)

// Limits of a request, which are the same on both sides.
const (
	RequestTimeout  = 15 * time.Second // from the end of the handshake to the response
	MaxRequestBytes = 1 << 20          // sufficient for budgets and plans of thousands of lines
)

// ErrNoQuorum is returned if no majority of the coordinators can be reached to agree. Its text is part of the protocol:
// a response contains it, and the client recognizes the error by it.
var ErrNoQuorum = errors.New("no majority of stewards")

// RemoteError is the text of an error in a coordinator's response, other than ErrNoQuorum.
type RemoteError string

func (e RemoteError) Error() string { return string(e) }

// Request is a request of an operator or of a coordinator that joins the others, encoded as a line of JSON. Exactly one
// of its fields is set.
type Request struct {
	Command           *coordination.Command `json:"Command,omitempty"`
	Status            bool                  `json:"Status,omitempty"`
	History           bool                  `json:"History,omitempty"`
	Join              *JoinRequest          `json:"Join,omitempty"`
	RemoveCoordinator string                `json:"Leave,omitempty"` // its name, without the suffix of the server ID
}

// JoinRequest is the request of a coordinator to become a voter.
type JoinRequest struct {
	ID   string `json:"ID"` // server ID: its name with the suffix of its data directory
	Addr string `json:"At"` // address that the other coordinators dial
}

// Response is the response to a Request, encoded as a line of JSON.
type Response struct {
	Error        string                      `json:"Error,omitempty"`
	Leader       string                      `json:"Leader,omitempty"` // address to send the request to instead
	Reply        *coordination.Reply         `json:"Reply,omitempty"`
	Status       *Status                     `json:"Status,omitempty"`
	History      []coordination.HistoryEntry `json:"History,omitempty"`
	EndedPermits []coordination.Permit       `json:"Over,omitempty"`
}

// Err returns the error that the response contains: ErrNoQuorum, a RemoteError, or nil.
func (r Response) Err() error {
	switch r.Error {
	case "":
		return nil
	case ErrNoQuorum.Error():
		return ErrNoQuorum
	}
	return RemoteError(r.Error)
}

// SetErr sets the error of the response. An error that wraps ErrNoQuorum is sent as ErrNoQuorum.
func (r *Response) SetErr(err error) {
	if errors.Is(err, ErrNoQuorum) {
		err = ErrNoQuorum // the client recognizes only its exact text
	}
	r.Error = err.Error()
}

// Status describes the replicated state as one coordinator has it, and that coordinator's raft state.
type Status struct {
	ID           string                     `json:"steward"`
	Leader       string                     `json:"leader"` // address, empty if none is known
	IsLeader     bool                       `json:"leads"`
	Term         uint64                     `json:"term"`
	AppliedIndex uint64                     `json:"index"`    // index of the last applied log entry
	Coordinators map[string]string          `json:"stewards"` // addresses by ID
	FleetTime    string                     `json:"now"`
	Halt         *coordination.Halt         `json:"halted,omitempty"`
	Rollout      *coordination.Rollout      `json:"release,omitempty"`
	Budgets      []coordination.BudgetUsage `json:"budgets"`
	Permits      []coordination.Permit      `json:"permits"`
	Unavailable  []coordination.Member      `json:"out"` // members that are not up or that have a permit
	MemberCount  int                        `json:"members"`
}
