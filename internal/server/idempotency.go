package server

import (
	"crypto/sha256"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/eventloop"
)

// lateReadGrace is how long the record of a keyed request is kept after its window, for duplicates that arrived within
// the window but are read later.
const lateReadGrace = time.Second

// clock provides the time, the timers and the call queue of the event loop.
type clock interface {
	Now() time.Duration
	ScheduleAt(at time.Duration, callback func()) *eventloop.Timer
	Post(callbacks ...func())
}

// idempotencyCache keeps the records that identify duplicates. Reads of the same class and resource are duplicates of
// each other. So are the attempts of a keyed request, which is one that is idempotent by key. No field carries the key:
// attempts of the same request are identified by their bodies, which are equal byte for byte. Owned by the event loop.
type idempotencyCache struct {
	clock               clock
	onResult            func(waiter *activeRequest, result coalescedResult)
	coalescedReadWindow time.Duration // how long the result of a read answers its duplicates
	requestsAreCalls    bool          // requests are upstream calls made by the requests of another tier

	records map[requestIdentity]*idempotencyRecord
	// forwardedRecords is the number of records of requests that were forwarded to other instances. The controller does
	// not account for them.
	forwardedRecords int
}

// requestIdentity is equal for requests that are duplicates of each other. The zero value is the identity of a request
// that cannot have duplicates.
type requestIdentity struct {
	class    admission.Class
	resource string
	tenant   admission.TenantID // empty if there are no tenants
	bodyHash [sha256.Size]byte  // set for a keyed request and for a read that is an upstream call; zero otherwise
	byKey    bool
}

func (i requestIdentity) isZero() bool { return i == requestIdentity{} }

// idempotencyRecord is the record of one identity and, once the run has succeeded, its result. It belongs to a
// request, not to a request ID: a client that reuses the ID of an answered request must not extend or drop that
// request's record.
type idempotencyRecord struct {
	requestID admission.RequestID
	identity  requestIdentity
	expiresAt time.Duration
	finished  bool
	removed   bool
	forwarded bool   // counted in forwardedRecords
	result    []byte // nil unless the run has succeeded
	waiters   []*activeRequest
	expiry    *eventloop.Timer // nil until the first one is scheduled
}

// expired reports whether the record has expired. The record of a keyed request cannot expire before the request has
// finished.
func (r *idempotencyRecord) expired(now time.Duration) bool {
	if !r.identity.byKey {
		return r.expiresAt <= now
	}
	return r.finished && r.expiresAt+lateReadGrace <= now
}

// coalescedWait is the wait of a request for the result of the request that it duplicates.
type coalescedWait struct {
	onEnd func(admission.Outcome, time.Duration) // callback of the controller
	since time.Duration
}

// coalescedResult is the result of a request, passed to the requests that duplicate it.
type coalescedResult struct {
	body    []byte // nil unless the request succeeded
	started bool   // a run of the request was started
}

// identify returns the identity of a request. Requests of different tenants are not duplicates of each other.
func (c *idempotencyCache) identify(active *activeRequest, newIDPerAttempt, byKey bool) requestIdentity {
	switch {
	case byKey && newIDPerAttempt:
		// The caller is not part of the identity: a retry may be sent by another client.
		return requestIdentity{
			class: active.class, tenant: active.tenant, bodyHash: sha256.Sum256(active.body), byKey: true,
		}
	case !byKey && active.resource != "":
		identity := requestIdentity{class: active.class, resource: active.resource, tenant: active.tenant}
		// A call carries the resource of the request that makes it, and one request may make several different calls.
		if c.requestsAreCalls {
			identity.bodyHash = sha256.Sum256(active.body)
		}
		return identity
	}
	return requestIdentity{}
}

// duplicateOf returns the ID of the recorded request that a request sent at sentAt duplicates, or an empty ID if there
// is none. The record of a keyed request does not expire while the request is in flight. A keyed request that was run
// and failed also counts, so that it is not run again: its effect must not happen twice.
func (c *idempotencyCache) duplicateOf(active *activeRequest, sentAt time.Duration) admission.RequestID {
	record := c.records[active.identity]
	if active.identity.isZero() || record == nil {
		return ""
	}
	withinWindow := record.expiresAt > sentAt
	if record.identity.byKey {
		if record.finished && !withinWindow {
			return ""
		}
		return record.requestID
	}
	if !withinWindow || record.finished && record.result == nil {
		return ""
	}
	return record.requestID
}

// store keeps a record of a request for the given window, starting now. If the request already has a record, its window
// restarts.
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

// storeForwarded keeps a record of a request that is forwarded to another instance. If the controller has had its
// record dropped, it gets a new one; if other requests wait for its result, it still has one, and they go on waiting.
func (c *idempotencyCache) storeForwarded(active *activeRequest, window time.Duration) {
	if active.record != nil && active.record.removed {
		active.record = nil
	}
	c.store(active, window)
	if !active.record.forwarded {
		active.record.forwarded = true
		c.forwardedRecords++
	}
}

// scheduleExpiry schedules the removal of a record for the end of its window, plus lateReadGrace for a keyed request.
// The record stays if its window has been extended by then, or if the request is keyed and still in flight.
func (c *idempotencyCache) scheduleExpiry(record *idempotencyRecord) {
	at := record.expiresAt
	if record.identity.byKey {
		at += lateReadGrace
	}
	record.expiry.Stop()
	if c.records[record.identity] != record { // a newer record has replaced it
		c.remove(record)
		return
	}
	record.expiry = c.clock.ScheduleAt(at, func() {
		if record.expired(c.clock.Now()) {
			c.remove(record)
		}
	})
}

// remove drops a record, unless other requests wait for its result.
func (c *idempotencyCache) remove(record *idempotencyRecord) {
	if record == nil || record.removed || len(record.waiters) > 0 {
		return
	}
	record.removed = true
	if record.forwarded {
		c.forwardedRecords--
	}
	c.unlist(record)
}

// unlist makes a record answer no further duplicates. Its timer is stopped, because it would otherwise keep the record
// in memory until the end of its window.
func (c *idempotencyCache) unlist(record *idempotencyRecord) {
	record.expiry.Stop()
	if c.records[record.identity] == record {
		delete(c.records, record.identity)
	}
}

// coalesce makes a request wait for the result of the request that it duplicates, or delivers the result if that
// request has finished.
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

// finish completes the record of a request and delivers the result to the requests that wait for it. result is nil
// unless the request succeeded. Only the first call for a record has an effect.
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
	if record.identity.byKey && !active.started { // a retry is allowed to run
		c.remove(record)
		return
	}
	c.scheduleExpiry(record)
}

// detach is called when a request has been answered or canceled. A canceled read may still be running, but later reads
// must not wait for a run that is about to be stopped; requests that already wait for it still get its result. The
// record of a keyed request is kept for further attempts in any case, because its effect may still happen.
func (c *idempotencyCache) detach(active *activeRequest) {
	record := active.record
	if record == nil || record.finished || record.identity.byKey {
		return
	}
	c.unlist(record)
}

// finishCoalesced answers a request that waited for the result of another request. It is rejected if the other request
// was never executed, because then neither was this one.
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
