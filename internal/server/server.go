// Package server is one service instance: the requests in flight with their runs, upstream calls and idempotency
// records, the link to the runtime, and the descriptors and buffers that all of them share. It carries out what the
// admission controller decides and decides nothing itself: it implements frontend.Server for whoever hands requests in,
// and admission.Executor for the controller.
//
// # Goroutines
//
// One event loop owns a Server and all that it holds; Serve runs it. Unless a method says otherwise, it is called
// on the loop only, and it must not wait. Any other goroutine uses Post, which queues a call for the loop. What the
// poller reads comes by PostBlocking, which has the poller wait while the loop has too much to do. Beside the loop
// there run:
//   - New, EnableSpillover, UseUpstreams and AddFrontend, before Serve, on the goroutine that starts the instance;
//   - clients.Frontend.Accept, on the poller's goroutine, for each connection that was accepted;
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

// Server is one service instance, from its start to its end. Owned by the event loop.
type Server struct {
	*eventloop.Loop
	config   Config // its addresses follow UpdateAddresses
	settings serviceSettings
	net      *transport.Net
	buffers  *BufferPool

	controller      *admission.Controller // nil until the runtime has come up
	decisionPending bool                  // the controller has heard something in this batch and has not decided yet
	loadReport      float64               // part of every response; negative until the controller has published one
	draining        bool

	requests    requestTable
	runtime     runtimeLink
	gauges      gaugeReader
	selfTests   selfTests
	database    databaseCalls
	idempotency idempotencyCache
	health      admission.Health // as the controller last set it
	registry    registryReporter
	stats       Stats

	authenticator *authn.Authenticator // nil: every caller may do everything
	spillover     Spillover            // nil: what is rejected is not forwarded
	clients       *clients.Frontend
	frontends     []frontend.Frontend // the further ones
}

// New returns a server that listens for clients and connects to its runtime once Serve runs. The error is that of a
// listener, syscall.EADDRINUSE among them.
func New(config Config) (*Server, error) {
	server := newServer(config)
	server.openNetwork()
	if config.Authn != nil {
		server.authenticator = authn.New(*config.Authn, server.Post, func() (time.Duration, time.Time) {
			return server.Now(), server.WallTime()
		})
		server.net.ReadTokens.Store(config.Authn.KeySet != nil)
	}
	var authenticator clients.Authenticator // stays a nil interface where there is no authenticator
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

// newServer returns a server without connections.
func newServer(config Config) *Server {
	bufferCount := config.memoryBytes() / transport.BufferSize
	server := &Server{
		Loop:       eventloop.New(bufferCount / 8), // read and not taken yet: an eighth of the memory
		config:     config,
		settings:   newServiceSettings(&config.Settings),
		buffers:    &BufferPool{},
		loadReport: -1,
		health:     admission.Health{Healthy: true},
	}
	server.requests = requestTable{
		byID:     map[admission.RequestID]*activeRequest{},
		capacity: bufferCount / 4, // bodies in flight: a quarter of the memory
	}
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

// openNetwork prepares the connections, within the descriptors and the memory that there are.
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
		MaxUnread:      int64(s.config.memoryBytes()) / 8, // responses that nobody reads: an eighth of the memory
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

// AddFrontend starts a further front end. It is called before Serve.
func (s *Server) AddFrontend(f frontend.Frontend) {
	s.frontends = append(s.frontends, f)
	f.Start()
}

// Serve runs the event loop until the server has drained. The controller decides once for all that a batch brought, and
// the responses of a batch are written together.
func (s *Server) Serve() {
	s.Run(func() {
		if s.decisionPending && s.controller != nil {
			s.decisionPending = false
			s.controller.Decide()
		}
		s.net.Flush()
	})
}
