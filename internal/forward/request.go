package forward

import (
	"fmt"
	"slices"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/rpc"
)

// maxTried is the number of tried endpoints that a request records. Endpoints tried after that are not recorded, so
// they may be tried again.
const maxTried = 4

// Request is a request that is being forwarded. It is owned by the event loop: its methods must be called only there.
//
// A request is finished once onDone is nil. Once it is finished and assigned to no connection, it is released and the
// buffer of its body is reused.
type Request struct {
	forwarder     *Forwarder
	message       frontend.Request // Body is nil once the request is released
	options       Options
	onDone        func(Result) // nil: it has been called, or the request has been canceled
	deadlineTimer *eventloop.Timer

	attempts         int
	tried            [maxTried]balancer.EndpointName // endpoints of the first attempts
	attemptStartedAt time.Duration
	connection       *connection           // of the current attempt; nil: no attempt is in progress
	id               uint32                // message id of the current attempt; valid once sent is true
	sent             bool                  // the current attempt has been sent
	sentTo           balancer.EndpointName // endpoint of the last attempt if that has been sent; otherwise empty
}

// SentTo returns the endpoint of the last attempt, or an empty name if nothing of that attempt has been sent.
func (r *Request) SentTo() balancer.EndpointName { return r.sentTo }

func (f *Forwarder) newRequest(message frontend.Request, options Options, onDone func(Result)) *Request {
	request := &Request{forwarder: f, message: message, options: options, onDone: onDone}
	request.message.Body = append(f.net.Get(), message.Body...)
	// A receiver does not retry a request that has been forwarded; retries are left to this process.
	request.message.Hops++
	// The request is finished at its deadline even if the endpoint never responds.
	request.deadlineTimer = f.loop.ScheduleAt(max(f.loop.Now(), options.Deadline), request.Expire)
	return request
}

// finishUnsendable finishes a request that no endpoint would read, and reports whether it has done so.
func (r *Request) finishUnsendable() bool {
	if rpc.Sendable(&r.message) {
		return false
	}
	r.finish(Result{
		LastOutcome: balancer.Rejected,
		NotSent:     true,
		Invalid:     frontend.OutOfRange,
		Response:    failedResponse,
	})
	return true
}

// hasTried reports whether an endpoint is recorded as tried.
func (r *Request) hasTried(name balancer.EndpointName) bool {
	return slices.Contains(r.tried[:min(r.attempts, maxTried)], name)
}

func (r *Request) beginAttempt(name balancer.EndpointName) {
	if r.attempts < maxTried {
		r.tried[r.attempts] = name
	}
	r.attempts++
	r.sent = false
	r.sentTo = ""
	r.attemptStartedAt = r.forwarder.loop.Now()
}

// progress returns the progress of the request, on which the Balancer bases the decision to retry it.
func (r *Request) progress() balancer.Attempt {
	return balancer.Attempt{
		Deadline:     r.options.Deadline,
		AttemptsMade: r.attempts,
		MaxAttempts:  r.options.MaxAttempts,
		Idempotent:   r.options.Idempotent,
		Forwarded:    r.message.Hops > 1,
	}
}

// renewID replaces the id of the request before a retry. The protocol requires a different id for each attempt, because
// an instance cannot distinguish two attempts in progress with the same id.
func (r *Request) renewID() {
	r.message.ID = fmt.Sprintf("%016x", r.forwarder.random.Uint64())
}

// Expire finishes the request as timed out. It does nothing if the request is finished.
func (r *Request) Expire() {
	if r.onDone == nil {
		return
	}
	notSent := r.connection != nil && !r.sent
	r.detach(true)
	r.finish(Result{
		LastOutcome: balancer.NoResponse,
		NotSent:     notSent,
		TimedOut:    true,
		Response:    failedResponse,
	})
}

// Cancel abandons the request: the result is no longer needed, and onDone is not called. onNeverRan, which may be nil,
// is called if the endpoint states later that the request has not run; an endpoint of an earlier version states
// nothing. Cancel does nothing if the request is finished.
func (r *Request) Cancel(onNeverRan func()) {
	if r.onDone == nil {
		return
	}
	r.onDone = nil
	if onNeverRan != nil && r.connection != nil && r.sent {
		r.connection.canceled.Put(r.id, onNeverRan, maxCanceled)
	}
	// An endpoint that accepts requests but never responds looks idle. A request that is canceled at or after its
	// deadline therefore counts against the endpoint. A request canceled earlier does not.
	r.detach(r.forwarder.loop.Now() >= r.options.Deadline)
	r.release()
}

// finish calls onDone unless the request is finished already, and releases the request if possible.
func (r *Request) finish(result Result) {
	onDone := r.onDone
	r.onDone = nil
	if onDone != nil {
		onDone(result)
	}
	r.release()
}

// detach ends the current attempt, if there is one. If the attempt has been sent, the endpoint is notified that the
// response is no longer needed. If timedOut is true, the attempt counts against the endpoint.
func (r *Request) detach(timedOut bool) {
	connection := r.connection
	if connection == nil {
		return
	}
	r.connection = nil
	if r.sent {
		delete(connection.inFlight, r.id)
		connection.client.Cancel(r.id)
	} else if index := slices.Index(connection.waiting, r); index >= 0 {
		connection.waiting = slices.Delete(connection.waiting, index, index+1)
	}
	if timedOut {
		now := r.forwarder.loop.Now()
		r.forwarder.Balancer.RecordTimeout(now, connection.endpoint.name, now-r.attemptStartedAt)
	} else {
		r.forwarder.Balancer.RecordCancel(connection.endpoint.name)
	}
	connection.closeIfDrained()
}

// release stops the deadline timer and returns the body to the buffer pool. It does nothing unless the request is
// finished and assigned to no connection.
func (r *Request) release() {
	if r.onDone != nil || r.connection != nil || r.message.Body == nil {
		return
	}
	r.deadlineTimer.Stop()
	r.forwarder.net.Put(r.message.Body)
	r.message.Body = nil
}
