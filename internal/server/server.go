// Package server is the instance's memory: the ops in hand, the runs and calls under way, the keys and results
// that are kept, one timer heap and the buffer pool. The Instance is the module's port: it carries out what
// the module decides and decides nothing itself.
package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/clients"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

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
	gauges        map[string]float64 // the last known
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
	for _, class := range listSetting(config.Settings, "op types") {
		name, _ := class["name"].(string)
		instance.timeouts[admission.Class(name)] = max(durationSetting(class, "op timeout"), durationSetting(class, "target latency"))
		instance.latencyObjectives[admission.Class(name)] = durationSetting(class, "target latency")
		instance.idempotent[admission.Class(name)] = class["repeats"] == "retryable"
		instance.idempotentByKey[admission.Class(name)] = class["repeats"] == "keyed"
	}
	if tier, _ := config.Settings["tier"].(float64); tier > 0 {
		instance.idempotency.requestsAreCalls = true
	}
	for _, tenant := range listSetting(config.Settings, "tenants") {
		name, _ := tenant["name"].(string)
		instance.tenants[admission.TenantID(name)] = true
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
	instance.clients = clients.New(instance, instance.Loop, instance.net, authenticator, durationSetting(config.Settings, "connections idle"))
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

// AddFrontend starts a further front. It belongs to the time before Serve.
func (in *Server) AddFrontend(f frontend.Frontend) {
	in.frontends = append(in.frontends, f)
	f.Start()
}
