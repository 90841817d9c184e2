package admission

import "time"

// Identifiers are opaque: they say nothing of age, order or place.
type (
	// RequestID identifies a request, unique for the life of an instance.
	RequestID string
	// CallerID identifies a connection's other end.
	CallerID int
	// TenantID identifies a tenant; empty where there are none.
	TenantID string
	// Class names a class of requests, by which they are configured.
	Class string
)

// Request is a request that has been read from its caller. Times are those of Executor.Now.
type Request struct {
	ID          RequestID
	Class       Class
	Rank        float64 // 0 to under 1; each priority weight has a band of equal width, higher weights above
	IsRetry     bool    // a further attempt, where attempts are marked
	IsWrite     bool
	Resource    string // what it reads or writes; empty where requests name none
	Caller      CallerID
	HasDeadline bool          // whether the caller says how long it waits
	Deadline    time.Duration // when the caller stops waiting
	WorkHint    time.Duration // the caller's rough estimate of its run time; 0: none
	MemoryKB    float64       // memory while queued
	QueueDelay  time.Duration // from its arrival at the machine until it was read
	Tenant      TenantID
	DuplicateOf RequestID // the recorded request that it repeats; empty: none
}

// Outcome tells how a run or an upstream call ended.
type Outcome int

// Which of them rule out an effect decides whether there may be another attempt.
const (
	Succeeded      Outcome = iota
	Failed                 // the run failed, or the call failed upstream; an effect is possible
	Rejected               // the call was rejected and never ran
	TimedOut               // the call was abandoned at its deadline; an effect is possible
	Unreachable            // the upstream could not be reached, the call never ran
	ConnectionLost         // the call broke off; an effect is possible
	Stopped                // the run was stopped
	NotStarted             // the run never started: the request was over already
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

// neverRan tells whether the outcome proves that the call had no effect.
func (o Outcome) neverRan() bool { return o == Rejected || o == Unreachable }

// trackedRequest is a request that is owed an answer or has a run.
type trackedRequest struct {
	Request
	class              *classState
	arrivedAt          time.Duration // at the machine, before it was read: the paper's a
	deadline           time.Duration // when its answer is due
	latencyObjective   time.Duration // from arrivedAt, less what earlier attempts took
	startedAt          time.Duration
	concurrencyAtStart int // runs when it started, itself included
	callAttempts       int // calls made at the call where it stands
	inCall             bool
	answered           bool
	overQuota          bool   // its tenant sends more than its quota
	onDeadline         func() // what its present step does when the answer is due
}

// slack is the time left until the latency objective: the paper's s, equation 8.
func (r *trackedRequest) slack(now time.Duration) time.Duration {
	return r.arrivedAt + r.latencyObjective - now
}

// requestTable holds the requests by the step at which they stand.
type requestTable struct {
	byID       map[RequestID]*trackedRequest // all below
	queue      []*trackedRequest             // not started, by arrival
	running    []*trackedRequest             // started and not at an upstream call
	atCall     []*trackedRequest             // started and at an upstream call, made or not
	coalesced  []*trackedRequest             // waiting for the result of the request that they duplicate
	unanswered []*trackedRequest             // the result of awaitingAnswer, used again
}

// forget removes a request that is answered and has no run.
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

// awaitingAnswer lists the requests that are owed an answer, in a fixed order. The list is valid until the next call.
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

// addMemoryKB adds the memory of all requests to kb; a run needs runFactor times that of a queued request.
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
