package forward

import (
	"fmt"
	"slices"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
)

// maxTried is the number of endpoints that a request remembers; those beyond are not excluded from further attempts.
const maxTried = 4

// Request is a request that is being forwarded. It is owned by the event loop.
//
// It is finished once onDone is nil. It is released, and its body reused, once it is finished and on no connection.
type Request struct {
	forwarder     *Forwarder
	message       frontend.Request // Body is nil once it is released
	options       Options
	onDone        func(Result) // nil: it was called, or nobody waits
	deadlineTimer *eventloop.Timer

	attempts         int
	tried            [maxTried]balancer.EndpointName // by the first attempts
	attemptStartedAt time.Duration
	connection       *connection // of the attempt; nil: there is none
	id               uint32      // message id of the attempt, once it is sent
	sent             bool
}

func (f *Forwarder) newRequest(message frontend.Request, options Options, onDone func(Result)) *Request {
	request := &Request{forwarder: f, message: message, options: options, onDone: onDone}
	request.message.Body = append(f.net.Get(), message.Body...)
	// Whoever gets a request that was forwarded leaves retries to us.
	request.message.Hops++
	// The request is answered at its deadline, even where its endpoint never answers.
	request.deadlineTimer = f.loop.ScheduleAt(max(f.loop.Now(), options.Deadline), request.Expire)
	return request
}

// hasTried reports whether the request was given to an endpoint.
func (r *Request) hasTried(name balancer.EndpointName) bool {
	return slices.Contains(r.tried[:min(r.attempts, maxTried)], name)
}

func (r *Request) beginAttempt(name balancer.EndpointName) {
	if r.attempts < maxTried {
		r.tried[r.attempts] = name
	}
	r.attempts++
	r.sent = false
	r.attemptStartedAt = r.forwarder.loop.Now()
}

// progress returns how far the request has come.
func (r *Request) progress() balancer.Attempt {
	return balancer.Attempt{
		Deadline:     r.options.Deadline,
		AttemptsMade: r.attempts,
		MaxAttempts:  r.options.MaxAttempts,
		Idempotent:   r.options.Idempotent,
		Forwarded:    r.message.Hops > 1,
	}
}

// renewID gives the next attempt an id of its own, as the protocol wants it: an instance can't tell two attempts in
// progress apart.
func (r *Request) renewID() {
	r.message.ID = fmt.Sprintf("%016x", r.forwarder.random.Uint64())
}

// Expire finishes the request as timed out, if it is not finished.
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

// Cancel notes that nobody waits for the result any more; onDone is not called.
func (r *Request) Cancel() {
	if r.onDone == nil {
		return
	}
	r.onDone = nil
	// An endpoint that takes requests and answers none looks idle: so one that is abandoned at its deadline counts against
	// it. Before that it says nothing.
	r.detach(r.forwarder.loop.Now() >= r.options.Deadline)
	r.release()
}

// finish calls onDone, once.
func (r *Request) finish(result Result) {
	onDone := r.onDone
	r.onDone = nil
	if onDone != nil {
		onDone(result)
	}
	r.release()
}

// detach ends the attempt: the endpoint is notified that nobody waits. expired says whether that counts against it.
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
		r.forwarder.Balancer.RecordOutcome(now, connection.endpoint.name, balancer.NoResponse, 0)
	} else {
		r.forwarder.Balancer.RecordCancel(connection.endpoint.name)
	}
	connection.closeIfDrained()
}

// release gives the body back once the request is finished and on no connection.
func (r *Request) release() {
	if r.onDone != nil || r.connection != nil || r.message.Body == nil {
		return
	}
	r.deadlineTimer.Stop()
	r.forwarder.net.Put(r.message.Body)
	r.message.Body = nil
}
