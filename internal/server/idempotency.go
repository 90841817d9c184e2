package server

import (
	"crypto/sha256"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/eventloop"
)

// lateReadGrace is how long a record by key outlasts its window, for duplicates that arrived within it and are read
// later.
const lateReadGrace = time.Second

// clock is the time and the timers of the event loop.
type clock interface {
	Now() time.Duration
	ScheduleAt(at time.Duration, callback func()) *eventloop.Timer
	Post(callbacks ...func())
}

// idempotencyCache keeps the records by which duplicates are known. Reads of the same class and resource are duplicates
// of each other; so are attempts of a request that is idempotent by key, which no field names: their bodies are equal,
// byte for byte. Owned by the event loop.
type idempotencyCache struct {
	clock               clock
	onResult            func(waiter *activeRequest, result coalescedResult)
	coalescedReadWindow time.Duration // how long the result of a read answers its duplicates
	requestsAreCalls    bool          // requests are the upstream calls of another tier's requests

	records map[requestIdentity]*idempotencyRecord
}

// requestIdentity is what duplicates have in common. The zero value is that of a request that has no duplicates.
type requestIdentity struct {
	class    admission.Class
	resource string
	tenant   admission.TenantID // empty where there are no tenants
	bodyHash [sha256.Size]byte  // of a request by key, and of a read that is a call; zero otherwise
	byKey    bool
}

func (i requestIdentity) isZero() bool { return i == requestIdentity{} }

// idempotencyRecord is one identity and, once its run has succeeded, the result. It belongs to a request, not to an id:
// a client that sends the id of an answered request again must not prolong or drop that one's record.
type idempotencyRecord struct {
	requestID admission.RequestID
	identity  requestIdentity
	expiresAt time.Duration
	finished  bool
	removed   bool
	result    []byte // nil unless it has succeeded
	waiters   []*activeRequest
}

// expired tells whether a record's time is over. One by key does not age before its request is finished.
func (r *idempotencyRecord) expired(now time.Duration) bool {
	if !r.identity.byKey {
		return r.expiresAt <= now
	}
	return r.finished && r.expiresAt+lateReadGrace <= now
}

// coalescedWait is that of a request for the result of the one that it duplicates.
type coalescedWait struct {
	onEnd func(admission.Outcome, time.Duration) // the controller's
	since time.Duration
}

// coalescedResult is what became of a request that others duplicate.
type coalescedResult struct {
	body    []byte // nil unless it succeeded
	started bool   // its run was started
}

// identify returns what a request has in common with its duplicates. Tenants' reads of the same resource are not
// duplicates of each other.
func (c *idempotencyCache) identify(active *activeRequest, newIDPerAttempt, byKey bool) requestIdentity {
	switch {
	case byKey && newIDPerAttempt:
		// Not the caller: a retry may come by another client.
		return requestIdentity{
			class: active.class, tenant: active.tenant, bodyHash: sha256.Sum256(active.body), byKey: true,
		}
	case !byKey && active.resource != "":
		identity := requestIdentity{class: active.class, resource: active.resource, tenant: active.tenant}
		// Calls carry the resource of the request that makes them, which may make several, each for something else.
		if c.requestsAreCalls {
			identity.bodyHash = sha256.Sum256(active.body)
		}
		return identity
	}
	return requestIdentity{}
}

// duplicateOf returns the request with a record that this one, which was sent at a time, duplicates; empty if there is
// none. While a request by key is in flight its record does not age, and one that ran and failed is not run again: its
// effect must not happen twice.
func (c *idempotencyCache) duplicateOf(active *activeRequest, sentAt time.Duration) admission.RequestID {
	record := c.records[active.identity]
	if active.identity.isZero() || record == nil {
		return ""
	}
	inTime := record.expiresAt > sentAt
	if record.identity.byKey {
		if record.finished && !inTime {
			return ""
		}
		return record.requestID
	}
	if !inTime || record.finished && record.result == nil {
		return ""
	}
	return record.requestID
}

// store keeps a record of a request until a window from now, or prolongs the one that is kept.
func (c *idempotencyCache) store(active *activeRequest, window time.Duration) {
	if active.identity.isZero() {
		return
	}
	if c.records == nil {
		c.records = map[requestIdentity]*idempotencyRecord{}
	}
	record := active.record
	if record == nil {
		if previous := c.records[active.identity]; previous != nil {
			c.remove(previous)
		}
		record = &idempotencyRecord{requestID: active.id, identity: active.identity}
		c.records[record.identity] = record
		active.record = record
	}
	record.expiresAt = c.clock.Now() + window
	c.scheduleExpiry(record)
}

// scheduleExpiry forgets a record when its time is over, unless it gets more time or its request is still in flight.
func (c *idempotencyCache) scheduleExpiry(record *idempotencyRecord) {
	at := record.expiresAt
	if record.identity.byKey {
		at += lateReadGrace
	}
	c.clock.ScheduleAt(at, func() {
		if record.expired(c.clock.Now()) {
			c.remove(record)
		}
	})
}

// remove drops a record. One whose result others wait for stays.
func (c *idempotencyCache) remove(record *idempotencyRecord) {
	if record == nil || record.removed || len(record.waiters) > 0 {
		return
	}
	record.removed = true
	if c.records[record.identity] == record {
		delete(c.records, record.identity)
	}
}

// coalesce has a request wait for the result of the one that it duplicates, or gives it the one that is kept.
func (c *idempotencyCache) coalesce(active *activeRequest) {
	record := c.records[active.identity]
	switch {
	case record == nil || record.finished && record.result == nil:
		c.clock.Post(func() { c.onResult(active, coalescedResult{started: true}) })
	case record.finished:
		c.clock.Post(func() { c.onResult(active, coalescedResult{body: record.result, started: true}) })
	default:
		record.waiters = append(record.waiters, active)
	}
}

// finish ends a request's record, with its result if it succeeded, nil otherwise. Only the first call counts.
func (c *idempotencyCache) finish(active *activeRequest, result []byte) {
	record := active.record
	if record == nil || record.finished || record.removed {
		return
	}
	record.finished = true
	if result != nil {
		record.result = append(make([]byte, 0, len(result)), result...)
		if !record.identity.byKey {
			record.expiresAt = min(record.expiresAt, c.clock.Now()+c.coalescedReadWindow)
		}
	}
	waiters := record.waiters
	record.waiters = nil
	for _, waiter := range waiters {
		c.clock.Post(func() { c.onResult(waiter, coalescedResult{body: record.result, started: active.started}) })
	}
	if record.identity.byKey && !active.started { // a retry may run
		c.remove(record)
		return
	}
	c.scheduleExpiry(record)
}

// detach hears that a request's response is no longer owed. A read that was abandoned may run on, and later reads must
// not wait for a run that is about to be stopped; those that wait for it already still get its result. Attempts of a
// request by key stay with it, whatever became of its response: its effect may happen.
func (c *idempotencyCache) detach(active *activeRequest) {
	record := active.record
	if record == nil || record.finished || record.identity.byKey {
		return
	}
	if c.records[record.identity] == record {
		delete(c.records, record.identity)
	}
}

// finishCoalesced answers a request that waited for another's result. If that one was never executed, neither was this.
func (s *Server) finishCoalesced(active *activeRequest, result coalescedResult) {
	if active.responder == nil || s.requests.get(active.id) != active {
		return
	}
	outcome := admission.Failed
	switch {
	case result.body != nil:
		outcome = admission.Succeeded
		s.succeed(active, result.body)
	case result.started:
		s.fail(active)
	default:
		s.reject(active, s.ResponseMetadata())
	}
	s.decisionPending = true
	active.coalesced.onEnd(outcome, s.Now()-active.coalesced.since)
	s.removeIfFinished(active)
}
