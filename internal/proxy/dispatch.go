package proxy

import (
	"lanewheel/admission"
	"lanewheel/internal/balancer"
	"lanewheel/internal/frontend"
)

// dispatch forwards a request, makes it wait for an earlier attempt of the same request, or answers it.
func (p *Proxy) dispatch(request *proxiedRequest) {
	class := p.classes[request.received.Class]
	if class.idempotency == admission.Idempotent {
		p.forward(request)
		return
	}
	byKey := class.idempotency == admission.IdempotentByKey
	key := attemptKeyOf(&request.received, byKey)
	record := p.attempts.find(key)
	switch {
	case record == nil && p.attempts.full() && !byKey: // its id is new, as the protocol demands
		p.forward(request)
	case record == nil && p.attempts.full():
		p.counters.rejected++
		request.answer(func(responder frontend.Responder) { responder.Reject(p.ResponseMetadata()) })
	case record == nil:
		request.record = p.attempts.add(key, request.sentAt+attemptWindow(class))
		p.forward(request)
	case record.inFlight():
		request.wait(record)
	case byKey:
		record.repeated = true
		p.forwardAgain(request, record.endpoint)
	default: // a copy of a request that may have run
		request.fail()
	}
}

// forward forwards a request to the instances that the balancer picks.
func (p *Proxy) forward(request *proxiedRequest) {
	request.forwarding = p.forwarder.Forward(request.received, request.options, request.handleResult)
}

// forwardAgain forwards a further attempt to the instance where the request may have run. That one knows what became of
// it; if it has left the fleet, nobody does, and the attempt fails.
func (p *Proxy) forwardAgain(request *proxiedRequest, endpoint balancer.EndpointName) {
	request.forwarding = p.forwarder.ForwardToName(endpoint, request.received, request.options, request.handleResult)
	if request.forwarding == nil {
		request.fail()
	}
}

// wait makes a request wait for an earlier attempt of the same request, at most until its deadline.
func (r *proxiedRequest) wait(record *attemptRecord) {
	if r.bodyCopy == nil {
		r.bodyCopy = append(r.proxy.buffers.Get(), r.received.Body...)
		r.received.Body = r.bodyCopy
	}
	r.record = record
	record.wait(r)
	r.deadlineTimer = r.proxy.ScheduleAt(r.options.Deadline, r.expire)
}

// waits reports whether the request waits for an earlier attempt.
func (r *proxiedRequest) waits() bool { return r.forwarding == nil && r.record != nil }

// stopWaiting ends the wait of a request.
func (r *proxiedRequest) stopWaiting() {
	r.record.stopWaiting(r)
	r.record = nil
	r.deadlineTimer.Stop()
}

// releaseBody returns the copy of the body to the buffer pool, if there is one.
func (r *proxiedRequest) releaseBody() {
	if r.bodyCopy != nil {
		r.proxy.buffers.Put(r.bodyCopy)
		r.bodyCopy = nil
		r.received.Body = nil
	}
}

// completeRecord records where the first attempt of a request may have run, and dispatches the attempts that have
// waited for it. endpoint is empty if it has not run.
func (r *proxiedRequest) completeRecord(endpoint balancer.EndpointName) {
	if r.record == nil {
		return
	}
	waiters := r.proxy.attempts.finish(r.record, endpoint)
	r.record = nil
	for _, waiter := range waiters {
		waiter.stopWaiting()
		r.proxy.dispatch(waiter)
		if !waiter.waits() {
			waiter.releaseBody()
		}
	}
}

// expire answers a request whose deadline has passed, or that the proxy can no longer wait for.
func (r *proxiedRequest) expire() {
	if r.waits() {
		r.stopWaiting()
		r.fail()
		return
	}
	r.forwarding.Expire()
}
