// Package server implements one service instance: the requests in flight with their runs, upstream calls and
// idempotency records, the link to the runtime, and the descriptors and buffers that all of them share. It carries out
// the decisions of the admission controller and makes no admission decisions itself. It implements frontend.Server for
// the front ends, which submit requests, and admission.Executor for the controller.
//
// # Goroutines
//
// One event loop owns a Server and everything in it; Serve runs the loop. Unless its documentation states otherwise, a
// method may be called only on the loop and must not block. Other goroutines use Post, which queues a call for the
// loop. The poller passes on the data that it reads with PostBlocking, which blocks the poller while too many calls
// are pending. The following run outside the loop:
//   - New, EnableSpillover, EnableForwarded, UseUpstreams and AddFrontend, before Serve, on the goroutine that starts
//     the instance;
//   - clients.Frontend.Accept, on the poller's goroutine, for each accepted connection;
//   - the methods of BufferPool, on any goroutine.
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

// Server is one service instance. Owned by the event loop.
type Server struct {
	*eventloop.Loop
	config   Config // UpdateAddresses changes its addresses
	settings serviceSettings
	net      *transport.Net
	buffers  *BufferPool

	controller      *admission.Controller // nil until the runtime is ready
	decisionPending bool                  // the controller has handled an event since its last decision
	loadReport      float64               // sent with every response; negative until the controller publishes one
	draining        bool

	requests    requestTable
	runtime     runtimeLink
	gauges      gaugeReader
	selfTests   selfTests
	database    databaseCalls
	idempotency idempotencyCache
	startedIDs  startedIDs
	health      admission.Health // last value set by the controller
	registry    registryReporter
	stats       Stats

	authenticator *authn.Authenticator // nil if every caller is allowed to do everything
	spillover     Spillover            // nil if rejected requests are not forwarded
	clients       *clients.Frontend
	frontends     []frontend.Frontend // added by AddFrontend
}

// New returns a server that listens for clients. It connects to its runtime once Serve runs. If a listener cannot be
// opened, New returns its error, for example syscall.EADDRINUSE.
func New(config Config) (*Server, error) {
	server := newServer(config)
	server.openNetwork()
	if config.Authn != nil {
		server.authenticator = authn.New(*config.Authn, server.Post, func() (time.Duration, time.Time) {
			return server.Now(), server.WallTime()
		})
		server.net.ReadTokens.Store(config.Authn.KeySet != nil)
	}
	var authenticator clients.Authenticator // must be a nil interface if there is no authenticator
	if server.authenticator != nil {
		authenticator = server.authenticator
	}
	server.clients = clients.New(server, server.Loop, server.net, authenticator, server.settings.idleTimeout)
	if err := server.listen(); err != nil {
		return nil, err
	}
	server.Post(func() {
		server.runtime.connect()
		server.clients.Sweep()
		server.reportPeriodically()
	})
	return server, nil
}

// newServer returns a server without listeners or connections.
func newServer(config Config) *Server {
	bufferCount := config.memoryBytes() / transport.BufferSize
	server := &Server{
		Loop:       eventloop.New(bufferCount / 8), // unprocessed reads: at most an eighth of the memory
		config:     config,
		settings:   newServiceSettings(&config.Settings),
		buffers:    &BufferPool{},
		loadReport: -1,
		health:     admission.Health{Healthy: true},
	}
	server.requests = requestTable{
		byID:     map[admission.RequestID]*activeRequest{},
		capacity: bufferCount / 4, // bodies in flight: at most a quarter of the memory
	}
	server.startedIDs.limit = startedIDsPerRequest * server.requests.capacity
	server.runtime.server = server
	server.gauges.server = server
	server.selfTests.server = server
	server.database.server = server
	server.idempotency = idempotencyCache{
		clock:               server,
		onResult:            server.finishCoalesced,
		coalescedReadWindow: server.settings.coalescedReadWindow,
		requestsAreCalls:    server.settings.requestsAreCalls,
	}
	return server
}

// openNetwork sets up the network, with limits that follow from the available descriptors and memory.
func (s *Server) openNetwork() {
	budget := divideDescriptors(s.config.MaxDescriptors, openDescriptors())
	s.database.maxConns = budget.calls
	s.net = &transport.Net{
		BufferPool:     s.buffers,
		Post:           s.Post,
		PostRead:       s.PostBlocking,
		OnAccept:       func(accepted *transport.Conn) { s.clients.Accept(accepted) },
		OnFull:         func() { s.clients.EvictIdle() },
		MaxAccepted:    int64(budget.clients),
		MaxConns:       int64(budget.total) + maxRuntimeLinks,
		MaxDescriptors: s.config.MaxDescriptors,
		MaxUnread:      int64(s.config.memoryBytes()) / 8, // unread responses: at most an eighth of the memory
	}
}

// listen opens the listeners.
func (s *Server) listen() error {
	if err := s.net.Start(s.config.ListenAddr); err != nil {
		return err
	}
	if s.config.TLS == nil {
		return nil
	}
	listener := *s.config.TLS
	listener.VerifyChain = s.authenticator.VerifyCertificate
	return s.net.ListenTLS(listener)
}

// AddFrontend starts an additional front end. It must be called before Serve.
func (s *Server) AddFrontend(f frontend.Frontend) {
	s.frontends = append(s.frontends, f)
	f.Start()
}

// Serve runs the event loop until the server has drained. The controller decides once per batch of events, and the
// responses of a batch are written together.
func (s *Server) Serve() {
	s.Run(func() {
		if s.decisionPending && s.controller != nil {
			s.decisionPending = false
			s.controller.Decide()
		}
		s.net.Flush()
	})
}
