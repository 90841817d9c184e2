package proxy

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/forward"
	"lanewheel/internal/frontend"
	"lanewheel/internal/server"
)

// maxAttempts is the maximum number of instances to which a request is sent. If the two instances tried after the first
// one are also full, the fleet is assumed to be full.
const maxAttempts = 3

// proxiedRequest is a request in flight. It is forwarded, or waits for an earlier attempt of the same request.
type proxiedRequest struct {
	proxy         *Proxy
	received      frontend.Request // its Body is valid during Submit, and while bodyCopy is set
	bodyCopy      []byte           // from the buffer pool, while the request waits; otherwise nil
	sentAt        time.Duration    // on the loop's clock
	options       forward.Options
	responder     frontend.Responder // nil: the request has been answered or canceled
	forwarding    *forward.Request   // nil: the request is not forwarded
	deadlineTimer *eventloop.Timer   // set while the request waits
	record        *attemptRecord     // record that it must complete, as the first attempt, or that it waits for; nil: none
}

// ResponseMetadata implements clients.Server. A proxy has no load of its own to report.
func (p *Proxy) ResponseMetadata() frontend.ResponseMetadata {
	return frontend.ResponseMetadata{LoadReport: -1}
}

// CheckHealth implements clients.Server. A proxy is healthy if it has an instance to forward to and is not draining.
func (p *Proxy) CheckHealth(_ bool, report func(healthy bool)) {
	report(p.endpointCount() > 0 && !p.draining)
}

// Load implements frontend.Server.
func (p *Proxy) Load() frontend.Load {
	return frontend.Load{
		Ready:        p.endpointCount() > 0,
		Draining:     p.draining,
		Healthy:      p.endpointCount() > 0,
		Running:      len(p.inFlight),
		FreeCapacity: p.config.MaxInFlight - len(p.inFlight),
		LoadReport:   -1,
	}
}

// Submit implements frontend.Server. It returns nil if the request has already been answered.
func (p *Proxy) Submit(
	received frontend.Request, _ *authn.Credential, responder frontend.Responder,
) frontend.Handle {
	p.counters.received++
	if code := p.check(&received); code != "" {
		responder.RejectPermanently(code, p.ResponseMetadata())
		responder.Done()
		return nil
	}
	class := p.classes[received.Class]
	sentAt := p.Now() - max(0, p.WallTime().Sub(time.UnixMilli(received.SentUnixMilli)))
	deadline := sentAt + class.timeout
	if received.HasTimeout {
		deadline = min(deadline, sentAt+received.Timeout)
	}
	if deadline <= p.Now() || !p.accepts(received.ID) {
		p.counters.rejected++
		responder.Reject(p.ResponseMetadata())
		responder.Done()
		return nil
	}
	request := &proxiedRequest{
		proxy:     p,
		received:  received,
		sentAt:    sentAt,
		responder: responder,
		options: forward.Options{
			Deadline:    deadline,
			Idempotent:  class.idempotency == admission.Idempotent,
			MaxAttempts: maxAttempts,
		},
	}
	p.inFlight[received.ID] = request
	p.dispatch(request)
	if request.responder == nil {
		return nil
	}
	return request
}

// check returns the code with which a request is rejected permanently, or an empty code if an instance may serve it.
// The tenant is left to the instances, because where callers are authenticated it follows from the token.
func (p *Proxy) check(received *frontend.Request) frontend.RejectionCode {
	class, defined := p.classes[received.Class]
	if !defined {
		return frontend.UnknownClass
	}
	return server.CheckValues(received, class.timeout)
}

// accepts reports whether a request with this id may be forwarded. There must be memory for its body, and no other
// request in flight may have the same id, because their responses could not be told apart. While the proxy drains, it
// accepts requests only until acceptUntil.
func (p *Proxy) accepts(id string) bool {
	if p.draining && p.Now() >= p.acceptUntil {
		return false
	}
	return len(p.inFlight) < p.config.MaxInFlight && p.inFlight[id] == nil
}

// Cancel implements frontend.Server. It does nothing if the request has been answered or canceled. If further attempts
// wait for the request, it goes on without its caller: what they get depends on its result.
func (p *Proxy) Cancel(handle frontend.Handle) (neverRan bool) {
	request, ok := handle.(*proxiedRequest)
	if !ok || request.responder == nil {
		return false
	}
	request.releaseResponder().Done()
	switch {
	case request.waits():
		request.stopWaiting()
		request.remove()
	case request.record == nil:
		request.forwarding.Cancel(nil)
		request.remove()
	case len(request.record.waiters) == 0:
		record := request.record
		request.forwarding.Cancel(func() { p.attempts.discard(record) })
		request.remove()
		request.completeRecord(request.forwarding.SentTo())
	}
	return false
}

// handleResult answers a request according to its result.
func (r *proxiedRequest) handleResult(result forward.Result) {
	if result.NoEndpoint {
		result.Metadata.RetryAfter = r.proxy.config.RetryAfter
	}
	r.proxy.counters.count(result)
	r.answer(result.Respond)
	endpoint := balancer.EndpointName("")
	if disposition := result.Disposition(); disposition == forward.Succeeded || disposition == forward.Failed {
		endpoint = r.forwarding.SentTo()
	}
	r.completeRecord(endpoint)
}

// fail answers a request that may have run.
func (r *proxiedRequest) fail() {
	r.proxy.counters.failed++
	r.answer(func(responder frontend.Responder) { responder.Fail(r.proxy.ResponseMetadata()) })
}

// answer removes a request from those in flight and calls send to answer it, unless it has been answered or canceled.
func (r *proxiedRequest) answer(send func(frontend.Responder)) {
	r.remove()
	if responder := r.releaseResponder(); responder != nil {
		send(responder)
		responder.Done()
	}
}

// releaseResponder detaches the responder from the request and returns it; nil if it has been detached. The caller must
// call the responder's Done.
func (r *proxiedRequest) releaseResponder() frontend.Responder {
	responder := r.responder
	r.responder = nil
	return responder
}

// remove removes the request from those in flight.
func (r *proxiedRequest) remove() {
	if r.proxy.inFlight[r.received.ID] == r {
		delete(r.proxy.inFlight, r.received.ID)
	}
	r.releaseBody()
}

// count counts the result of a forwarded request.
func (c *counters) count(result forward.Result) {
	if result.TimedOut {
		c.timedOut++
	}
	if result.NoEndpoint {
		c.noEndpoint++
		return
	}
	switch result.Disposition() {
	case forward.Succeeded:
		c.succeeded++
	case forward.Rejected:
		c.rejected++
	case forward.Failed:
		c.failed++
		if result.LastOutcome == balancer.NoResponse {
			c.noResponse++
		}
	case forward.Denied, forward.Invalid: // not counted, like the requests that the proxy denies itself
	}
}
