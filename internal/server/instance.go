// Package server is the instance's memory: the ops in hand, the runs and calls under way, the keys and results
// that are kept, one timer heap and the buffer pool. The Instance is the module's port: it carries out what
// the module decides and decides nothing itself.
package server

import (
	"log/slog"
	"math"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/clients"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// Config is what an instance is told at its start.
type Config struct {
	Name, ListenAddr, RuntimeAddr, DatabaseAddr, RegistryAddr string

	Seed             uint64
	TerminationGrace time.Duration // from SIGTERM to SIGKILL
	MaxDescriptors   int
	MemoryMB         float64
	Cores            float64
	Settings         admission.Settings
	GaugeNames       []admission.Gauge // in the order in which the runtime reports them
	ReportReadiness  bool              // the list follows health

	Authn *authn.Config          // who may do what; nil: everybody everything
	TLS   *transport.TLSListener // a further listener with TLS; nil: none
}

// Server is one life of a service instance. All of it belongs to the owner loop.
type Server struct {
	*eventloop.Loop
	config          Config
	net             *transport.Net
	buffers         *BufferPool
	controller      *admission.Controller // nil until the runtime has come up
	decisionPending bool                  // the module has heard something in this batch

	timeouts          map[admission.Class]time.Duration // the op timeouts of those that were told
	idempotent        map[admission.Class]bool          // those of them that may run twice
	idempotentByKey   map[admission.Class]bool          // those of whose tries only one may run
	latencyObjectives map[admission.Class]time.Duration // their target latencies
	tenants           map[admission.TenantID]bool       // those that were told

	requests map[admission.RequestID]*activeRequest
	clients  *clients.Frontend

	runtime       runtimeLink
	gauges        admission.Gauges // the last known
	database      databaseCalls
	idempotency   idempotencyCache
	health        health
	authenticator *authn.Authenticator // nil: all may enter
	loadReport    float64              // rides on all answers; under 0 until it is said

	maxRequests int // ops in hand
	running     int // of them

	spillover   Spillover // where ops may go that are turned away here; nil: nowhere
	spilledOver int       // ops in hand that are there

	frontends   []frontend.Frontend
	stats       Stats
	emptySince  time.Duration // when the last op in hand was over
	clockOffset time.Duration // see Now
	draining    bool          // it was told to go
}

// New makes an instance that listens and looks for its runtime.
func New(config Config) (*Server, error) {
	buffers := int(config.MemoryMB*(1<<20)) / transport.BufferSize
	instance := &Server{Loop: eventloop.New(buffers / 8), config: config, buffers: &BufferPool{}, loadReport: -1, requests: map[admission.RequestID]*activeRequest{}}
	instance.health.healthy = true
	instance.timeouts, instance.tenants, instance.idempotent = map[admission.Class]time.Duration{}, map[admission.TenantID]bool{}, map[admission.Class]bool{}
	instance.latencyObjectives, instance.idempotentByKey = map[admission.Class]time.Duration{}, map[admission.Class]bool{}
	for _, class := range config.Settings.Classes {
		instance.timeouts[class.Name] = max(class.Timeout, class.LatencyObjective)
		instance.latencyObjectives[class.Name] = class.LatencyObjective
		instance.idempotent[class.Name] = class.Idempotency == admission.Idempotent
		instance.idempotentByKey[class.Name] = class.Idempotency == admission.IdempotentByKey
	}
	if config.Settings.Tier > 0 {
		instance.idempotency.requestsAreCalls = true
	}
	for _, tenant := range config.Settings.Tenants {
		instance.tenants[tenant.Name] = true
	}
	// A quarter of the memory is for bodies in hand; the module's own bound is far below it where ops are large. An
	// eighth is for what was read and is not taken yet.
	instance.maxRequests = buffers / 4
	budget := divideDescriptors(config.MaxDescriptors, openDescriptors()) // the runtime's two links are dialled too, and stand beside it
	instance.database.maxConns = budget.calls
	// An eighth of the memory is for answers that nobody reads.
	instance.net = &transport.Net{BufferPool: instance.buffers, Post: instance.Post, PostRead: instance.PostBlocking, OnAccept: func(accepted *transport.Conn) { instance.clients.Accept(accepted) }, OnFull: func() { instance.clients.EvictIdle() },
		MaxAccepted: int64(budget.clients), MaxConns: int64(budget.total) + 2, MaxDescriptors: config.MaxDescriptors, MaxUnread: int64(config.MemoryMB*(1<<20)) / 8}
	if config.Authn != nil {
		instance.authenticator = authn.New(*config.Authn, instance.Post, func() (time.Duration, time.Time) { return instance.Now(), instance.WallTime() })
		instance.net.ReadTokens.Store(config.Authn.KeySet != nil)
	}
	var authenticator clients.Authenticator // nil, not a door that is nil
	if instance.authenticator != nil {
		authenticator = instance.authenticator
	}
	instance.clients = clients.New(instance, instance.Loop, instance.net, authenticator, config.Settings.MaxIdleTimeout)
	if err := instance.net.Start(config.ListenAddr); err != nil {
		return nil, err
	}
	if config.TLS != nil {
		secure := *config.TLS
		secure.VerifyChain = instance.authenticator.VerifyCertificate
		if err := instance.net.ListenTLS(secure); err != nil {
			return nil, err
		}
	}
	instance.Post(func() {
		instance.connect()
		instance.clients.Sweep()
		instance.reportPeriodically()
	})
	return instance, nil
}

// Serve runs the owner loop until the instance has stopped.
func (in *Server) Serve() {
	in.Run(func() {
		if in.decisionPending && in.controller != nil {
			in.decisionPending = false
			in.controller.Decide()
		}
		in.net.Flush()
	})
}

// activeRequest is one op in hand: from its reading until it is answered and its run is over.
type activeRequest struct {
	id                admission.RequestID
	class             admission.Class
	resource          string
	tenant            admission.TenantID // whose it is, by its caller's rights where these are known; empty where there are no tenants
	identity          requestIdentity
	record            *idempotencyRecord // its key, once that is stored
	body              []byte
	responder         frontend.Responder // its one answer; nil once it is given or the caller has left
	run               *run
	started           bool                                   // it was started, whatever became of that
	onCoalesced       func(admission.Outcome, time.Duration) // waits for another's result
	coalescedAt       time.Duration                          // when it began to wait
	arrivedAt         time.Duration
	outsideController bool              // the module does not know of it: it waits at the door, or is elsewhere
	original          *frontend.Request // as it came, less its body; nil where nothing is handed over
	deadline          time.Duration     // with it
	spilloverHandle   frontend.Handle   // it is elsewhere
	permission        authz.Permission  // given back when the op is over
}

// Spillover is where an op may go that the module has turned away here. It belongs to the owner loop.
type Spillover interface {
	// Came tells that an op has come here.
	RequestArrived()
	// Take takes what is owed of an op, or gives nil if it does not, or has answered it at once. What is taken is answered by due.
	Forward(ask frontend.Request, due time.Duration, repeats bool, owed frontend.Responder) frontend.Handle
	// Gone tells that nobody waits any more for one that was taken.
	Cancel(frontend.Handle)
}

// EnableSpillover has ops that are turned away here go elsewhere where that takes them. It belongs to the time before Serve.
func (in *Server) EnableSpillover(newSpillover func(net *transport.Net) Spillover) {
	in.spillover = newSpillover(in.net)
	in.net.ReadHops.Store(true)
}

// Submit is front.Core: it takes an op from a front. What can't be taken is nacked at once: nothing is before the runtime has
// come up, nor under the id of an op in hand that came elsewhere: whose it is can't be told, and it never ran.
func (in *Server) Submit(request frontend.Request, credential *authn.Credential, responder frontend.Responder) frontend.Handle {
	// Danger: more bodies than there is memory for.
	if in.controller == nil || len(in.requests) >= in.maxRequests || in.requests[admission.RequestID(request.ID)] != nil {
		responder.Reject(in.metadata())
		responder.Done()
		return nil
	}
	var active *activeRequest
	if in.authenticator != nil {
		active = in.authenticate(credential, request, responder)
	} else {
		active = in.submitToController(request, responder, nil)
	}
	if active == nil || active.responder == nil {
		return nil
	}
	return active
}

// AddFrontend starts a further front. It belongs to the time before Serve.
func (in *Server) AddFrontend(f frontend.Frontend) {
	in.frontends = append(in.frontends, f)
	f.Start()
}

// Cancel is front.Core: nobody waits for an op any more.
func (in *Server) Cancel(handle frontend.Handle) {
	if active, known := handle.(*activeRequest); known && active.responder != nil {
		in.cancelRequest(active)
	}
}

// ResponderOf is stubs.Core: who is owed the answer of an op in hand.
func (in *Server) ResponderOf(id string) frontend.Responder {
	if active := in.requests[admission.RequestID(id)]; active != nil {
		return active.responder
	}
	return nil
}

// ResponseMetadata is stubs.Core.
func (in *Server) ResponseMetadata() frontend.ResponseMetadata { return in.metadata() }

// Load is front.Core: how the instance stands.
func (in *Server) Load() frontend.Load {
	return frontend.Load{Ready: in.controller != nil && in.runtime.synced, Draining: in.draining, Healthy: in.healthy(), Cores: in.config.Settings.Cores,
		Queued: len(in.requests) - in.running - in.spilledOver, Running: in.running, FreeCapacity: in.maxRequests - len(in.requests), LoadReport: in.loadReport, IdleFor: in.idleFor()}
}

// Stats is what has become of ops since the start.
type Stats struct {
	Answered        uint64        // acked, nacked or failed
	WithinObjective uint64        // acked in their target latency
	TotalLatency    time.Duration // that all of them took, from reading to answer
}

// Stats gives what has become of ops.
func (in *Server) Stats() Stats { return in.stats }

// recordOutcome notes that an op is answered, if it still is owed that.
func (in *Server) recordOutcome(active *activeRequest, succeeded bool) {
	if active.responder == nil || active.arrivedAt == 0 { // nobody waits
		return
	}
	latency := in.Loop.Now() - active.arrivedAt
	in.stats.Answered++
	in.stats.TotalLatency += latency
	if objective := in.latencyObjectives[active.class]; succeeded && (objective == 0 || latency <= objective) {
		in.stats.WithinObjective++
	}
}

// idleFor is how long nothing has been in hand.
func (in *Server) idleFor() time.Duration {
	if len(in.requests) > 0 {
		return 0
	}
	return in.Loop.Now() - in.emptySince
}

// submitToController hands an op to the module. before is the op as it waited at the door, nil if it did not.
func (in *Server) submitToController(request frontend.Request, responder frontend.Responder, waiting *activeRequest) *activeRequest {
	queueDelay := max(0, in.WallTime().Sub(time.UnixMilli(request.SentUnixMilli)))
	code := in.invalidReason(request)
	if code != "" || queueDelay > maxWait(in.timeouts[admission.Class(request.Class)]) { // the second: long over, by a clock that is not ours
		if waiting == nil {
			waiting = in.track(request, responder)
		}
		in.answerOutside(waiting, func(responder frontend.Responder) {
			if code != "" {
				responder.RejectPermanently(code, in.metadata())
			} else {
				responder.Reject(in.metadata())
			}
		})
		return nil
	}
	active := waiting
	if active == nil {
		active = in.track(request, responder)
	}
	active.outsideController = false
	active.tenant = admission.TenantID(request.Tenant)
	if in.spillover != nil {
		in.keepOriginal(active, request, queueDelay)
	}
	active.identity = in.idempotency.identify(active, request, in.idempotentByKey[active.class])
	in.decisionPending = true
	in.controller.Submit(admission.Request{ID: active.id, Class: active.class, Rank: request.Rank, IsWrite: request.Resource == "",
		Resource: request.Resource, Caller: admission.CallerID(request.Caller), HasDeadline: request.HasTimeout,
		Deadline: in.Now() - queueDelay + request.Timeout, WorkHint: request.WorkHint, MemoryKB: request.MemoryKB, QueueDelay: queueDelay,
		Tenant: admission.TenantID(request.Tenant), DuplicateOf: in.idempotency.duplicateOf(active, in.Now()-queueDelay)})
	return active
}

// keepOriginal keeps what it takes to ask for an op elsewhere.
func (in *Server) keepOriginal(active *activeRequest, request frontend.Request, queueDelay time.Duration) {
	in.spillover.RequestArrived()
	request.Body = nil
	active.original = &request
	active.deadline = in.Loop.Now() - queueDelay + in.timeouts[active.class]
	if request.HasTimeout {
		active.deadline = min(active.deadline, in.Loop.Now()-queueDelay+request.Timeout)
	}
}

// spill gives an op that the module has turned away to another instance, and tells whether that has it now. The module is done with it.
func (in *Server) spill(active *activeRequest) bool {
	// One that runs, or waits for another's result, or whose caller is known by his connection, stays.
	if active.original == nil || active.responder == nil || active.run != nil || active.onCoalesced != nil || in.draining || in.authenticator != nil && active.original.Token == "" {
		return false
	}
	request := *active.original
	request.Body = active.body
	in.idempotency.finish(in, active, nil)
	active.outsideController, active.original = true, nil
	in.spilledOver++
	responder := &spilledResponder{in, active}
	active.spilloverHandle = responder // it is elsewhere before it may come back
	if handle := in.spillover.Forward(request, active.deadline, in.idempotent[active.class], responder); handle != nil {
		active.spilloverHandle = handle
		return true
	}
	if active.responder == nil { // it is answered
		return true
	}
	in.spilledOver--
	active.spilloverHandle = nil
	return false
}

// spilledResponder is an op that is elsewhere: a front.Owed.
type spilledResponder struct {
	server  *Server
	request *activeRequest
}

func (h *spilledResponder) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	h.server.respond(h.request, func(responder frontend.Responder) { responder.Succeed(result, h.server.metadata()) })
}
func (h *spilledResponder) Reject(metadata frontend.ResponseMetadata) {
	metadata.LoadReport = h.server.loadReport
	h.server.respond(h.request, func(responder frontend.Responder) { responder.Reject(metadata) })
}
func (h *spilledResponder) Fail(frontend.ResponseMetadata) {
	h.server.respond(h.request, func(responder frontend.Responder) { responder.Fail(h.server.metadata()) })
}
func (h *spilledResponder) RejectPermanently(code string, metadata frontend.ResponseMetadata) {
	metadata.LoadReport = h.server.loadReport
	h.server.respond(h.request, func(responder frontend.Responder) { responder.RejectPermanently(code, metadata) })
}
func (h *spilledResponder) Done() { h.server.returnFromSpillover(h.request) }

// returnFromSpillover forgets that an op is elsewhere.
func (in *Server) returnFromSpillover(active *activeRequest) {
	if active.spilloverHandle != nil {
		active.spilloverHandle = nil
		in.spilledOver--
		in.forget(active)
	}
}

// track puts an op in the tables.
func (in *Server) track(request frontend.Request, responder frontend.Responder) *activeRequest {
	active := &activeRequest{id: admission.RequestID(request.ID), class: admission.Class(request.Class), resource: request.Resource, responder: responder, arrivedAt: in.Loop.Now(),
		body: append(in.buffers.Get(), request.Body...)}
	in.requests[active.id] = active
	return active
}

// maxTimeouts is how many op timeouts no stub would wait, nor any op lie or work: one is many times an op's work.
const maxTimeouts = 10

// maxWait is that time for one op timeout. Where none was told, or a huge one, it is a day: no caller waits so long, and a hundred
// thousand of them still add up without overflow.
func maxWait(timeout time.Duration) time.Duration {
	const day = 24 * time.Hour
	if timeout <= 0 || timeout > day/maxTimeouts {
		return day
	}
	return maxTimeouts * timeout
}

// invalidReason tells what makes an ask one that could never be served, whatever else is here. Danger: the module would
// learn from figures that nobody meant, or reckon with such as overflow.
func (in *Server) invalidReason(request frontend.Request) string {
	timeout, known := in.timeouts[admission.Class(request.Class)]
	switch {
	case !known:
		return "unknown-type"
	case len(in.tenants) > 0 && !in.tenants[admission.TenantID(request.Tenant)]:
		return "unknown-tenant"
	case request.MemoryKB <= 0 || request.MemoryKB >= 2000 || request.Rank < 0 || request.Rank >= 1 || request.Caller < 0 || request.Caller > math.MaxInt32:
		return "out-of-range"
	case request.Timeout > maxWait(timeout) || request.WorkHint > maxWait(timeout):
		return "out-of-range"
	}
	return ""
}

// cancelRequest hears that the caller of an op has given it up.
func (in *Server) cancelRequest(active *activeRequest) {
	in.releaseResponder(active)
	if active.spilloverHandle != nil {
		in.spillover.Cancel(active.spilloverHandle)
		in.returnFromSpillover(active)
		return
	}
	if active.outsideController { // the verdict finds it gone
		in.forget(active)
		return
	}
	in.decisionPending = true
	in.controller.Cancel(active.id)
	in.forget(active)
}

// releaseResponder ends the answer that is owed. Danger: whatever crosses, an op is answered once; who takes it off first is the one
// that answers.
func (in *Server) releaseResponder(active *activeRequest) {
	if responder := active.responder; responder != nil {
		active.responder = nil
		responder.Done()
		in.idempotency.detach(active)
	}
}

// respond sends the one answer, if it is still owed.
func (in *Server) respond(active *activeRequest, send func(frontend.Responder)) {
	if responder := active.responder; responder != nil {
		send(responder)
		in.releaseResponder(active)
	}
}

func (in *Server) metadata() frontend.ResponseMetadata {
	return frontend.ResponseMetadata{LoadReport: in.loadReport}
}

// forget forgets an op that nothing is owed to any more and that does not run.
func (in *Server) forget(active *activeRequest) {
	if active.responder != nil || active.run != nil || active.spilloverHandle != nil || in.requests[active.id] != active {
		return
	}
	delete(in.requests, active.id)
	if len(in.requests) == 0 {
		in.emptySince = in.Loop.Now()
	}
	in.buffers.Put(active.body)
	active.body = nil
	if in.authenticator != nil {
		in.authenticator.Release(&active.permission)
	}
	if !active.outsideController {
		in.idempotency.finish(in, active, nil)
	}
}

// The rest is choice.Port.

// Now is the module's time. While the module opens, it is as much earlier as the runtime is older than we are.
func (in *Server) Now() time.Duration { return in.Loop.Now() - in.clockOffset }

func (in *Server) Start(id admission.RequestID, onCall func(), onEnd func(admission.Outcome, time.Duration)) {
	if active := in.requests[id]; active != nil {
		active.run, active.started = &run{onCall: onCall, onEnd: onEnd}, true
		in.running++
		if in.runtime.synced {
			in.runtime.conn.Start(id, active.class, active.body)
		}
	}
}

func (in *Server) Stop(id admission.RequestID) {
	if active := in.requests[id]; active != nil && active.run != nil {
		active.run.stopRequested = true
		if in.runtime.synced {
			in.runtime.conn.Stop(id)
		}
	}
}

func (in *Server) Reject(id admission.RequestID, retryAfter time.Duration, noFailover bool) {
	if active := in.requests[id]; active != nil {
		if in.spillover != nil && !noFailover && in.spill(active) {
			return
		}
		in.recordOutcome(active, false)
		metadata := in.metadata()
		metadata.RetryAfter, metadata.NoFailover = retryAfter, noFailover
		in.respond(active, func(responder frontend.Responder) { responder.Reject(metadata) })
		in.forget(active)
	}
}

func (in *Server) Fail(id admission.RequestID) {
	if active := in.requests[id]; active != nil {
		in.recordOutcome(active, false)
		in.respond(active, func(responder frontend.Responder) { responder.Fail(in.metadata()) })
		in.forget(active)
	}
}

func (in *Server) Call(id admission.RequestID, deadline time.Duration, done func(admission.Outcome, time.Duration)) {
	if active := in.requests[id]; active != nil && active.run != nil && active.run.callSequence != 0 {
		in.database.start(in, active, deadline, done)
	}
}

func (in *Server) SkipCall(id admission.RequestID) {
	if active := in.requests[id]; active != nil && active.run != nil && active.run.callSequence != 0 {
		active.run.skippedCall = active.run.callSequence
		if in.runtime.synced {
			in.runtime.conn.SkipCall(id, active.run.skippedCall)
		}
	}
}

func (in *Server) Coalesce(id admission.RequestID, onEnd func(admission.Outcome, time.Duration)) {
	if active := in.requests[id]; active != nil {
		active.onCoalesced, active.coalescedAt = onEnd, in.Now()
		in.idempotency.coalesce(in, active)
	}
}

func (in *Server) KeepRecord(id admission.RequestID, window time.Duration) {
	if active := in.requests[id]; active != nil {
		in.idempotency.store(in, active, window)
	}
}

func (in *Server) DropRecord(id admission.RequestID) {
	if active := in.requests[id]; active != nil {
		in.idempotency.forget(active.record)
	}
}

func (in *Server) SetHealth(health admission.Health) {
	in.health.healthy, in.health.fromState = health.Healthy, health.FromState
}
func (in *Server) PublishLoad(level float64)            { in.loadReport = level }
func (in *Server) SetIdleTimeout(timeout time.Duration) { in.clients.SetIdleTimeout(timeout) }
func (in *Server) LogTransition(change admission.Transition) {
	slog.Info("state changed", "from", change.From.String(), "to", change.To.String(), "queued", change.Queued, "running", change.Running)
}

func (in *Server) WakeAt(at time.Duration, then func(admission.Gauges)) {
	in.ScheduleAt(at, func() {
		in.decisionPending = true // what is due is answered in this batch, whatever becomes of the gauges
		in.requestGauges(then)
	})
}
