package server

import (
	"crypto/sha256"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
)

// idempotencyCache are the ops that repeats are known by. Reads of like type and subject are repeats of each other; so are tries of a keyed op, which no
// field tells of: what they say is the same, byte for byte.
type idempotencyCache struct {
	records          map[requestIdentity]*idempotencyRecord
	requestsAreCalls bool // what comes here are calls of the tier above
}

type requestIdentity struct {
	class    admission.Class
	resource string
	tenant   admission.TenantID // empty where there are none
	bodyHash [sha256.Size]byte  // of a keyed op, or of a read that is a call; zero of any other
	byKey    bool
}

// idempotencyRecord is one key and, once its run has gone well, the result. It is its op's, not that of an id. Danger: a client that sends the id of an op that
// is over once more has the key of that one prolonged, or dropped when it is turned away, and a try of a keyed op runs a second time.
type idempotencyRecord struct {
	requestID admission.RequestID
	forgotten bool // forgotten
	identity  requestIdentity
	expiresAt time.Duration
	finished  bool
	result    []byte
	waiters   []*activeRequest
}

// identify is what repeats of an op have in common, zero where it has none. Danger: one tenant's read answered with what another's came to, of a
// key that both use.
func (k *idempotencyCache) identify(active *activeRequest, request frontend.Request, byKey bool) (identity requestIdentity) {
	switch {
	case byKey && request.NewIDPerAttempt:
		// Not who sends it: a further try may come by another stub.
		identity = requestIdentity{class: active.class, tenant: active.tenant, bodyHash: sha256.Sum256(active.body), byKey: true}
	case !byKey && active.resource != "":
		identity = requestIdentity{class: active.class, resource: active.resource, tenant: active.tenant}
		// Danger: calls carry the key of the op that makes them, and one op makes several, each for something else. The body tells them apart.
		if k.requestsAreCalls {
			identity.bodyHash = sha256.Sum256(active.body)
		}
	}
	return identity
}

// duplicateOf is the kept op that this one, which came at a time, repeats, or none.
func (k *idempotencyCache) duplicateOf(active *activeRequest, arrivedAt time.Duration) admission.RequestID {
	record := k.records[active.identity]
	if active.identity == (requestIdentity{}) || record == nil {
		return ""
	}
	switch {
	// Danger: an effect that happens twice. While a keyed op is in hand its key does not age, and one that ran and failed is not run again.
	case record.identity.byKey:
		if record.finished && record.expiresAt <= arrivedAt {
			return ""
		}
	case record.expiresAt <= arrivedAt, record.finished && record.result == nil:
		return ""
	}
	return record.requestID
}

// lateReadGrace is how long a key outlasts its time, for repeats that came in it and are read behind it.
const lateReadGrace = time.Second

func (k *idempotencyCache) store(server *Server, active *activeRequest, window time.Duration) {
	if active.identity == (requestIdentity{}) {
		return
	}
	if k.records == nil {
		k.records = map[requestIdentity]*idempotencyRecord{}
	}
	record := active.record
	if record == nil {
		if previous := k.records[active.identity]; previous != nil {
			k.forget(previous)
		}
		record = &idempotencyRecord{requestID: active.id, identity: active.identity}
		k.records[record.identity], active.record = record, record
	}
	record.expiresAt = server.Now() + window
	k.scheduleExpiry(server, record)
}

// scheduleExpiry forgets a key when its time is over.
func (k *idempotencyCache) scheduleExpiry(server *Server, record *idempotencyRecord) {
	at := record.expiresAt
	if record.identity.byKey {
		at += lateReadGrace
	}
	server.ScheduleAt(at, func() {
		if record.forgotten || record.identity.byKey && (!record.finished || record.expiresAt+lateReadGrace > server.Now()) || record.expiresAt > server.Now() {
			return // it is in hand still, which ages it when it is over; or it got more time
		}
		k.forget(record)
	})
}

// forget forgets a key. Those that wait for its result still get it.
func (k *idempotencyCache) forget(record *idempotencyRecord) {
	if record == nil || record.forgotten || len(record.waiters) > 0 {
		return
	}
	record.forgotten = true
	if k.records[record.identity] == record {
		delete(k.records, record.identity)
	}
}

// coalesce has an op wait for the result of the one it repeats, or gives it what is kept.
func (k *idempotencyCache) coalesce(server *Server, active *activeRequest) {
	record := k.records[active.identity]
	if record == nil || record.finished && record.result == nil {
		server.Post(func() { server.finishCoalesced(active, nil, true) })
		return
	}
	if record.finished {
		server.Post(func() { server.finishCoalesced(active, record.result, true) })
		return
	}
	record.waiters = append(record.waiters, active)
}

// finish hears that an op is over, with its result if it went well. The first word counts.
func (k *idempotencyCache) finish(server *Server, active *activeRequest, result []byte) {
	record := active.record
	if record == nil || record.finished || record.forgotten {
		return
	}
	record.finished = true
	if result != nil {
		record.result = append(make([]byte, 0, len(result)), result...)
		if !record.identity.byKey {
			record.expiresAt = min(record.expiresAt, server.Now()+durationSetting(server.config.Settings, "shared reads for"))
		}
	}
	waiting := record.waiters
	record.waiters = nil
	for _, waiter := range waiting {
		server.Post(func() { server.finishCoalesced(waiter, record.result, active.started) })
	}
	if record.identity.byKey && !active.started { // a later try is free to
		k.forget(record)
		return
	}
	k.scheduleExpiry(server, record)
}

// detach hears that nothing more is owed of an op. Danger: a read that was given up, or whose caller left, may run on; who asks the same from now
// on is answered by what nobody asked for any more, or stopped and failed with it. Those that wait for it already still get what it comes to.
// Tries of a keyed op stay with it, whatever became of its answer: its effect may happen.
func (k *idempotencyCache) detach(active *activeRequest) {
	if record := active.record; record != nil && !record.finished && !record.identity.byKey && k.records[record.identity] == record {
		delete(k.records, record.identity)
	}
}

// finishCoalesced ends an op that waited for another's result. Where that never ran, neither did this one.
func (in *Server) finishCoalesced(active *activeRequest, result []byte, started bool) {
	if active.responder == nil || in.requests[active.id] != active {
		return
	}
	outcome := admission.Succeeded
	switch {
	case result != nil:
		in.respond(active, func(responder frontend.Responder) { responder.Succeed(result, in.metadata()) })
	case started:
		outcome = admission.Failed
		in.respond(active, func(responder frontend.Responder) { responder.Fail(in.metadata()) })
	default:
		outcome = admission.Failed
		in.respond(active, func(responder frontend.Responder) { responder.Reject(in.metadata()) })
	}
	in.decisionPending = true
	active.onCoalesced(outcome, in.Now()-active.coalescedAt)
	in.forget(active)
}
