package proxy

import (
	"crypto/sha256"
	"slices"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
)

// attemptRecordBytes is a bound of the memory that the record of one request takes, in bytes.
const attemptRecordBytes = 256

// lateAttemptGrace is how long a record is kept after its window, for attempts that were sent within the window and are
// read later. It exceeds the grace of an instance, so that the instance forgets a request first.
const lateAttemptGrace = 2 * time.Second

// clock provides the time and the timers of the event loop.
type clock interface {
	Now() time.Duration
	ScheduleAt(at time.Duration, callback func()) *eventloop.Timer
}

// attemptTable remembers where requests that must not run twice may have run. Further attempts of a keyed request must
// reach the same instance, as no other one knows that it has run; a copy of a request that must never run twice must
// reach none. It is owned by the event loop.
type attemptTable struct {
	clock   clock
	limit   int // maximum number of records
	records map[attemptKey]*attemptRecord
}

// attemptKey is equal for attempts of the same request.
type attemptKey [sha256.Size]byte

// attemptRecord is the record of one request.
type attemptRecord struct {
	key       attemptKey
	expiresAt time.Duration
	// endpoint is the instance where the request may have run. It is empty until the first attempt has finished.
	endpoint balancer.EndpointName
	repeated bool              // a further attempt has been forwarded to the endpoint
	expiry   *eventloop.Timer  // set once the first attempt has finished
	waiters  []*proxiedRequest // further attempts that came before the first one has finished, in order
}

// attemptKeyOf returns the key of a request. The attempts of a keyed request have equal bodies, by which the instances
// recognize them; other attempts are equal if they have the same id.
func attemptKeyOf(received *frontend.Request, byKey bool) attemptKey {
	hash := sha256.New()
	identity := []string{"id", received.ID}
	if byKey {
		identity = []string{"key", received.Class, received.Tenant, string(received.Body)}
	}
	for _, part := range identity {
		sum := sha256.Sum256([]byte(part)) // of fixed size, so that no two identities are written alike
		hash.Write(sum[:])
	}
	return attemptKey(hash.Sum(nil))
}

// find returns the record of a request, or nil if there is none.
func (t *attemptTable) find(key attemptKey) *attemptRecord { return t.records[key] }

// full reports whether there is no memory for a further record.
func (t *attemptTable) full() bool { return len(t.records) >= t.limit }

// add adds the record of a request whose first attempt is about to be forwarded.
func (t *attemptTable) add(key attemptKey, expiresAt time.Duration) *attemptRecord {
	record := &attemptRecord{key: key, expiresAt: expiresAt}
	t.records[key] = record
	return record
}

// finish records where the first attempt may have run. If it has not run anywhere, endpoint is empty and the record is
// removed. finish returns the attempts that have waited.
func (t *attemptTable) finish(record *attemptRecord, endpoint balancer.EndpointName) []*proxiedRequest {
	waiters := record.waiters
	record.waiters = nil
	if endpoint == "" {
		t.remove(record)
		return waiters
	}
	record.endpoint = endpoint
	record.expiry = t.clock.ScheduleAt(max(t.clock.Now(), record.expiresAt), func() { t.remove(record) })
	return waiters
}

// discard removes a record whose first attempt was canceled and has not run, unless a further one may have run.
func (t *attemptTable) discard(record *attemptRecord) {
	if !record.repeated {
		t.remove(record)
	}
}

func (t *attemptTable) remove(record *attemptRecord) {
	record.expiry.Stop()
	if t.records[record.key] == record {
		delete(t.records, record.key)
	}
}

// inFlight reports whether the first attempt has not finished.
func (r *attemptRecord) inFlight() bool { return r.endpoint == "" }

// wait adds an attempt to those that wait for the first one.
func (r *attemptRecord) wait(request *proxiedRequest) { r.waiters = append(r.waiters, request) }

// stopWaiting removes an attempt from those that wait.
func (r *attemptRecord) stopWaiting(request *proxiedRequest) {
	r.waiters = slices.DeleteFunc(r.waiters, func(waiter *proxiedRequest) bool { return waiter == request })
}

// attemptWindow returns how long after an attempt was sent further attempts of the same request may come. The attempts
// of a keyed request come within its window, and a client waits for a timeout in total, for all its attempts.
func attemptWindow(class classConfig) time.Duration {
	if class.idempotency == admission.IdempotentByKey {
		return class.idempotencyWindow + lateAttemptGrace
	}
	return class.timeout + lateAttemptGrace
}
