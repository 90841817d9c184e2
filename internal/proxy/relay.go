// Package proxy passes ops on: it takes them by the client stubs' protocol, gives each to one of many members, and owes the one final
// answer. It holds nothing beside what is in hand. Who gets an op, and whether another is asked, is decided by internal/balancer.
package proxy

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/balancer"
	"lanewheel/internal/clients"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/forward"
	"lanewheel/internal/frontend"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
	"lanewheel/internal/transport"
)

// Config is what a relay goes by beside the platform's configuration.
type Config struct {
	forward.Config
	MaxInFlight int           // ops in hand
	DrainGrace  time.Duration // after the notice to leave, until nothing new is passed on
	RetryAfter  time.Duration // told to who is turned away because nobody is there, 0 for nothing
}

// Proxy is one process that passes ops on. All of it belongs to its loop.
type Proxy struct {
	*eventloop.Loop
	config      Config
	platform    server.Config
	net         *transport.Net
	buffers     *server.BufferPool
	clients     *clients.Frontend
	forwarder   *forward.Forwarder
	classes     map[string]classConfig
	inFlight    map[string]*proxiedRequest
	frontends   []frontend.Frontend
	registry    *transport.Registry
	draining    bool
	acceptUntil time.Duration // when it leaves: from then on nothing new is passed on
	counters    counters
}

// counters is what became of ops, since the start.
type counters struct{ received, succeeded, rejected, failed, noResponse, timedOut, noEndpoint uint64 }

type classConfig struct {
	idempotent bool
	timeout    time.Duration
}

// proxiedRequest is one op in hand.
type proxiedRequest struct {
	proxy      *Proxy
	id         string             // its caller's
	responder  frontend.Responder // nil once it is answered or nobody waits
	forwarding *forward.Request
}

// Listen makes a relay that listens. Of the platform's configuration it takes what an instance would, less the runtime and the database.
func Listen(platform server.Config, config Config, probe forward.ProbeFunc) (*Proxy, error) {
	bufferCount := int(platform.MemoryMB*(1<<20)) / transport.BufferSize
	config.MaxInFlight = min(config.MaxInFlight, bufferCount/4) // a quarter of the memory is for bodies in hand, as in an instance
	proxy := &Proxy{Loop: eventloop.New(bufferCount / 8), config: config, platform: platform, buffers: &server.BufferPool{}, classes: map[string]classConfig{}, inFlight: map[string]*proxiedRequest{}}
	classes, _ := platform.Settings["op types"].([]admission.Settings)
	for _, class := range classes {
		name, _ := class["name"].(string)
		timeout, _ := class["op timeout"].(time.Duration)
		objective, _ := class["target latency"].(time.Duration)
		proxy.classes[name] = classConfig{class["repeats"] == "retryable", max(timeout, objective)}
	}
	proxy.net = &transport.Net{BufferPool: proxy.buffers, Post: proxy.Post, PostRead: proxy.PostBlocking, OnAccept: func(connection *transport.Conn) { proxy.clients.Accept(connection) }, OnFull: func() { proxy.clients.EvictIdle() },
		MaxAccepted: int64(platform.MaxDescriptors) / 2, MaxDescriptors: platform.MaxDescriptors, MaxUnread: int64(platform.MemoryMB*(1<<20)) / 8, LocalIP: config.LocalIP()}
	proxy.net.ReadTokens.Store(true) // who calls is the instance's to judge; a relay passes on what is brought
	proxy.net.ReadHops.Store(true)
	proxy.forwarder = forward.New(proxy.Loop, proxy.net, config.Config, platform.Seed, probe)
	idle, _ := platform.Settings["connections idle"].(time.Duration)
	proxy.clients = clients.New(proxy, proxy.Loop, proxy.net, nil, idle)
	if err := proxy.net.Start(platform.ListenAddr); err != nil {
		return nil, err
	}
	proxy.Post(func() {
		proxy.clients.Sweep()
		proxy.forwarder.Start()
		proxy.reportToRegistry()
	})
	return proxy, nil
}

// Attach starts what works beside the loop. It belongs to the time before Serve.
func (r *Proxy) Attach(attached frontend.Frontend) {
	r.frontends = append(r.frontends, attached)
	attached.Start()
}

// Serve runs the loop until the relay has left.
func (r *Proxy) Serve() { r.Run(r.net.Flush) }

// UpdateView takes a view of the fleet.
func (r *Proxy) UpdateView(view *membership.View) { r.forwarder.UpdateView(view, membership.RoleProxy) }

// endpointCount is how many members there are to pass to.
func (r *Proxy) endpointCount() int { return r.forwarder.Balancer.Len() }

// ResponderOf is stubs.Core.
func (r *Proxy) ResponderOf(id string) frontend.Responder {
	if request := r.inFlight[id]; request != nil {
		return request.responder
	}
	return nil
}

// ResponseMetadata is stubs.Core: a relay has no signal of its own.
func (r *Proxy) ResponseMetadata() frontend.ResponseMetadata {
	return frontend.ResponseMetadata{LoadReport: -1}
}

// CheckHealth is stubs.Core: all is well while somebody is there to pass to.
func (r *Proxy) CheckHealth(deep bool, report func(bool)) {
	report(r.endpointCount() > 0 && !r.draining)
}

// Load is front.Core.
func (r *Proxy) Load() frontend.Load {
	return frontend.Load{Ready: r.endpointCount() > 0, Draining: r.draining, Healthy: r.endpointCount() > 0, Running: len(r.inFlight), FreeCapacity: r.config.MaxInFlight - len(r.inFlight), LoadReport: -1}
}

// Submit is front.Core.
func (r *Proxy) Submit(received frontend.Request, _ *authn.Credential, responder frontend.Responder) frontend.Handle {
	r.counters.received++
	class, known := r.classes[received.Class]
	switch {
	case !known:
		responder.RejectPermanently("unknown-type", r.ResponseMetadata())
		responder.Done()
		return nil
	// Danger: more bodies than there is memory for; and one id in hand twice, of which nobody could tell whose the answer is.
	case len(r.inFlight) >= r.config.MaxInFlight || r.inFlight[received.ID] != nil || r.draining && r.Now() >= r.acceptUntil:
		r.counters.rejected++
		responder.Reject(r.ResponseMetadata())
		responder.Done()
		return nil
	}
	queueDelay := max(0, r.WallTime().Sub(time.UnixMilli(received.SentUnixMilli)))
	deadline := r.Now() - queueDelay + class.timeout
	if received.HasTimeout {
		deadline = min(deadline, r.Now()-queueDelay+received.Timeout)
	}
	request := &proxiedRequest{proxy: r, id: received.ID, responder: responder}
	r.inFlight[received.ID] = request
	options := forward.Options{Deadline: deadline, Idempotent: class.idempotent, MaxAttempts: maxAttempts}
	request.forwarding = r.forwarder.Forward(received, options, request.handleResult)
	if request.responder == nil {
		return nil
	}
	return request
}

// maxAttempts is how many members an op is given to at the most. Two that are full one after the other are a full fleet.
const maxAttempts = 3

// Cancel is front.Core: nobody waits any more.
func (r *Proxy) Cancel(received frontend.Handle) {
	if request, is := received.(*proxiedRequest); is && request.responder != nil {
		request.respond(func(frontend.Responder) {})
		request.forwarding.Cancel()
	}
}

// handleResult answers an op by what became of it.
func (o *proxiedRequest) handleResult(result forward.Result) {
	counters, fields := &o.proxy.counters, result.Metadata
	if result.TimedOut {
		counters.timedOut++
	}
	switch {
	case result.NoEndpoint:
		counters.noEndpoint++
		fields.RetryAfter = o.proxy.config.RetryAfter
		o.respond(func(responder frontend.Responder) { responder.Reject(fields) })
	case result.LastOutcome == balancer.Succeeded:
		counters.succeeded++
		o.respond(func(responder frontend.Responder) { responder.Succeed(result.Result, fields) })
	case result.Error == "Denied":
		o.respond(func(responder frontend.Responder) { responder.RejectPermanently("denied", fields) })
	case !result.MayHaveRun():
		counters.rejected++
		o.respond(func(responder frontend.Responder) { responder.Reject(fields) })
	default:
		if counters.failed++; result.LastOutcome == balancer.NoResponse {
			counters.noResponse++
		}
		o.respond(func(responder frontend.Responder) { responder.Fail(fields) })
	}
}

// respond gives the one answer, and forgets the op.
func (o *proxiedRequest) respond(send func(frontend.Responder)) {
	responder := o.responder
	o.responder = nil
	delete(o.proxy.inFlight, o.id)
	send(responder)
	responder.Done()
}

// reportToRegistry tells the roster that we are here, as an instance does.
func (r *Proxy) reportToRegistry() {
	if r.registry == nil && r.platform.RegistryAddr != "" {
		var err error
		if r.registry, err = transport.NewRegistry(r.platform.RegistryAddr, r.platform.Name); err != nil {
			slog.Warn("no-roster", "err", err)
		}
	}
	if r.registry != nil {
		r.registry.Report(!r.draining && r.endpointCount() > 0)
	}
	r.ScheduleAt(r.Now()+250*time.Millisecond, r.reportToRegistry)
}

// Drain is the notice to drain: the process is killed Stop from now. What comes within the grace is passed on, what comes later turned away;
// the stubs are asked to go, and all that was read is answered.
func (r *Proxy) Drain() {
	if r.draining {
		return
	}
	r.draining, r.acceptUntil = true, r.Now()+r.config.DrainGrace
	slog.Info("leaving", "kill_ms", r.platform.TerminationGrace.Milliseconds(), "held", len(r.inFlight))
	killAt := r.Now() + r.platform.TerminationGrace
	r.reportToRegistry()
	timeouts := clients.DrainScheduleFor(r.platform.TerminationGrace)
	for _, attached := range r.frontends {
		attached.Drain(max(0, r.platform.TerminationGrace-timeouts.FrontendsDrained))
	}
	r.clients.GoAway()
	// What is still open then gets its answer; nothing new is passed on from then on either.
	r.acceptUntil = min(r.acceptUntil, killAt-timeouts.LastAnswers)
	r.ScheduleAt(max(r.Now(), killAt-timeouts.LastAnswers), func() {
		for _, request := range slices.Collect(maps.Values(r.inFlight)) { // answering takes them out
			request.forwarding.Expire()
		}
	})
	r.ScheduleAt(max(r.Now(), killAt-timeouts.GoAway), func() {
		r.clients.Drain(timeouts, killAt, func() bool {
			return len(r.inFlight) == 0 && !slices.ContainsFunc(r.frontends, func(attached frontend.Frontend) bool { return !attached.Drained() })
		}, func(connections int) {
			counters := r.counters
			slog.Info("stopped", "connections", connections, "ops", len(r.inFlight), "asked", counters.received, "served", counters.succeeded, "refused", counters.rejected, "failed", counters.failed,
				"lost", counters.noResponse, "again", r.forwarder.Retries, "late", counters.timedOut, "nobody", counters.noEndpoint)
			r.Quit()
		})
	})
}
