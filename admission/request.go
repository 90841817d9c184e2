package admission

import "time"

// Identifiers are opaque: they carry no information about age, order or location.
type (
	// RequestID identifies a request. It is unique during the lifetime of an instance.
	RequestID string
	// CallerID identifies the remote end of a connection.
	CallerID int
	// TenantID identifies a tenant. It is empty if there are no tenants.
	TenantID string
	// Class names a class of requests. Requests are configured by class.
	Class string
)

// Request is a request that has been read from its caller. Times are in terms of Executor.Now.
type Request struct {
	ID          RequestID
	Class       Class
	Rank        float64 // 0 to less than 1; each priority weight has a band of equal width, higher weights above
	IsRetry     bool    // a repeated attempt, if attempts are marked
	IsWrite     bool
	Resource    string // the resource that it reads or writes; empty if requests do not name one
	Caller      CallerID
	HasDeadline bool          // whether the caller has set a deadline
	Deadline    time.Duration // when the caller stops waiting
	WorkHint    time.Duration // the caller's rough estimate of the run time; 0: none
	MemoryKB    float64       // memory used while it is queued
	QueueDelay  time.Duration // time from arrival at the machine until it was read
	Tenant      TenantID
	DuplicateOf RequestID // the recorded request of which it is a duplicate; empty: none
}

// Outcome is the result of a run or an upstream call.
type Outcome int

// Whether another attempt is allowed depends on whether the outcome rules out an effect.
const (
	Succeeded      Outcome = iota
	Failed                 // the run failed, or the call failed upstream; it may have had an effect
	Rejected               // the call was rejected and never ran
	TimedOut               // the call was abandoned at its deadline; it may have had an effect
	Unreachable            // the upstream could not be reached; the call never ran
	ConnectionLost         // the connection was lost during the call; it may have had an effect
	Stopped                // the run was stopped
	NotStarted             // the run never started because the request had already ended
)

var outcomeNames = [...]string{
	Succeeded:      "succeeded",
	Failed:         "failed",
	Rejected:       "rejected",
	TimedOut:       "timed out",
	Unreachable:    "unreachable",
	ConnectionLost: "connection lost",
	Stopped:        "stopped",
	NotStarted:     "not started",
}

func (o Outcome) String() string { return enumString("Outcome", outcomeNames[:], int(o)) }

// neverRan reports whether the outcome proves that the call had no effect.
func (o Outcome) neverRan() bool { return o == Rejected || o == Unreachable }

// trackedRequest is a request that has not been answered or whose run has not ended.
type trackedRequest struct {
	Request
	class              *classState
	arrivedAt          time.Duration // time of arrival at the machine, before it was read: the paper's a
	deadline           time.Duration // when its answer is due
	latencyObjective   time.Duration // relative to arrivedAt, less the time of earlier attempts
	startedAt          time.Duration
	concurrencyAtStart int  // number of runs when it started, including itself
	callAttempts       int  // attempts made for the upstream call that it is at
	inCall             bool // whether that call is open
	answered           bool
	overQuota          bool   // its tenant exceeds its quota
	onDeadline         func() // called when the answer is due; depends on the state of the request
}

// slack returns the remaining time until the latency objective: the paper's s, equation 8.
func (r *trackedRequest) slack(now time.Duration) time.Duration {
	return r.arrivedAt + r.latencyObjective - now
}

// requestTable holds the requests by state.
type requestTable struct {
	byID       map[RequestID]*trackedRequest // all requests in the lists below
	queue      []*trackedRequest             // not started, in order of arrival
	running    []*trackedRequest             // started and not at an upstream call
	atCall     []*trackedRequest             // started and at an upstream call, whether or not the call has been made
	coalesced  []*trackedRequest             // waiting for the result of the request that they duplicate
	unanswered []*trackedRequest             // buffer for the result of awaitingAnswer, reused
}

// forget removes a request that has been answered and has no run.
func (t *requestTable) forget(r *trackedRequest) {
	t.queue = removeRequest(t.queue, r)
	t.coalesced = removeRequest(t.coalesced, r)
	t.running = removeRequest(t.running, r)
	t.atCall = removeRequest(t.atCall, r)
	delete(t.byID, r.ID)
}

// resume moves a run from its upstream call back to the cores.
func (t *requestTable) resume(r *trackedRequest) {
	t.atCall = removeRequest(t.atCall, r)
	t.running = append(t.running, r)
}

// awaitingAnswer returns the requests that have not been answered, in a fixed order. The list is valid until the
// next call.
func (t *requestTable) awaitingAnswer() []*trackedRequest {
	t.unanswered = t.unanswered[:0]
	for _, list := range [...][]*trackedRequest{t.queue, t.coalesced, t.running, t.atCall} {
		for _, r := range list {
			if !r.answered {
				t.unanswered = append(t.unanswered, r)
			}
		}
	}
	return t.unanswered
}

// addMemoryKB returns kb plus the memory of all requests. A run needs runFactor times the memory of a queued
// request.
func (t *requestTable) addMemoryKB(kb, runFactor float64) float64 {
	for _, r := range t.queue {
		kb += r.MemoryKB
	}
	for _, r := range t.coalesced {
		kb += r.MemoryKB
	}
	for _, r := range t.running {
		kb += r.MemoryKB * runFactor
	}
	for _, r := range t.atCall {
		kb += r.MemoryKB * runFactor
	}
	return kb
}
