// Package allocator is the process beside an upstream service: it shows the fleet where the service is and whether it
// accepts connections, and grants leases of its concurrent calls. internal/concurrencylease decides.
package allocator

import (
	"context"
	"log/slog"
	"net"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

const (
	// maxPendingCallbacks bounds the event loop's queue.
	maxPendingCallbacks = 1 << 12
	// The service is probed once in a probeInterval, by a connection.
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// logInterval is how often it is checked whether the leased calls have changed enough to be logged.
	logInterval = time.Second
	// permitDrainTimeout is how long it takes to leave by a permit.
	permitDrainTimeout = time.Second
	// leaveGrace is how long beyond the timeout of a shutdown the gossip agent is waited for.
	leaveGrace        = 200 * time.Millisecond
	leavePollInterval = 10 * time.Millisecond
)

// Server is one such process. It implements gossip.Process. Its fields are owned by its event loop; its methods may be
// called on any goroutine unless said otherwise.
type Server struct {
	*eventloop.Loop
	serviceAddr string
	config      concurrencylease.Config
	allocator   *concurrencylease.Allocator
	agent       *gossip.Agent
	serviceUp   bool // the service accepts connections
	draining    bool
	loggedCalls int // leased calls, as last logged
}

// New makes a server that grants nothing before Attach.
func New(config concurrencylease.Config, serviceAddr string) *Server {
	return &Server{Loop: eventloop.New(maxPendingCallbacks), serviceAddr: serviceAddr, config: config}
}

// Attach gives the server the agent by which it speaks to the fleet. It is to be called before the agent is started and
// before Serve.
func (s *Server) Attach(agent *gossip.Agent) {
	s.agent = agent
	s.allocator = concurrencylease.NewAllocator(s.config, agent.View().Self.BootID, s.Now())
	agent.OnLeaseRequest = func(request concurrencylease.Request, answer func(concurrencylease.Lease)) {
		s.Post(func() {
			if lease, ok := s.allocator.HandleRequest(s.Now(), request); ok {
				answer(lease)
			}
		})
	}
	agent.Subscribe(func(view *membership.View) {
		if view.LocalHealth == membership.LocalFenced { // or two would lease the same calls
			s.Post(s.allocator.Fence)
		}
	})
}

// SetConfig replaces the configuration of leases.
func (s *Server) SetConfig(config concurrencylease.Config) {
	s.Post(func() { s.allocator.SetConfig(config) })
}

// Serve runs the event loop until the server has left the fleet.
func (s *Server) Serve() {
	stopped := make(chan struct{})
	defer close(stopped)
	s.Post(s.logLeasedCalls)
	go s.probeService(stopped)
	s.Run(func() {})
}

// probeService looks from time to time whether the service accepts connections. It is a goroutine of its own, as a
// connection may take its time.
func (s *Server) probeService(stopped <-chan struct{}) {
	for {
		isUp := s.canConnect()
		s.Post(func() { s.setServiceUp(isUp) })
		select {
		case <-stopped:
			return
		case <-time.After(probeInterval):
		}
	}
}

func (s *Server) canConnect() bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", s.serviceAddr)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

func (s *Server) setServiceUp(isUp bool) {
	if isUp == s.serviceUp {
		return
	}
	s.serviceUp = isUp
	if isUp {
		slog.Info("upstream reachable", "addr", s.serviceAddr)
	} else {
		slog.Info("upstream unreachable", "addr", s.serviceAddr)
	}
}

// logLeasedCalls logs how many calls are leased where that has changed by much, or to none.
func (s *Server) logLeasedCalls() {
	calls, holders := s.allocator.Committed(s.Now())
	step := max(4, s.config.Capacity/4)
	change := max(calls-s.loggedCalls, s.loggedCalls-calls)
	if change >= step || calls == 0 && s.loggedCalls > 0 {
		s.loggedCalls = calls
		slog.Info("leases granted", "calls", calls, "leasable", s.config.LeasableCalls(), "holders", holders,
			"renew_only", s.allocator.RenewOnly(s.Now()))
	}
	s.ScheduleAt(s.Now()+logInterval, s.logLeasedCalls)
}

// Status implements gossip.Process.
func (s *Server) Status(callback func(gossip.ProcessStatus)) {
	s.Post(func() {
		calls, holders := s.allocator.Committed(s.Now())
		callback(gossip.ProcessStatus{
			Ready:    s.serviceUp,
			Draining: s.draining,
			Metrics: []membership.Metric{
				{Name: "cap", Value: float64(s.config.Capacity)},
				{Name: "granted", Value: float64(calls)},
				{Name: "holders", Value: float64(holders)},
			},
		})
	})
}

// Load implements gossip.Process.
func (s *Server) Load(callback func(float64, gossip.RequestStats)) {
	s.Post(func() {
		calls, _ := s.allocator.Committed(s.Now())
		callback(float64(calls), gossip.RequestStats{})
	})
}

// Drain implements gossip.Process.
func (s *Server) Drain(_ uint64) { s.Post(func() { s.Shutdown(permitDrainTimeout) }) }

// Fenced implements gossip.Process.
func (s *Server) Fenced() { s.Post(s.allocator.Fence) }

// Shutdown leaves the fleet within a timeout and ends Serve. Leases run out by themselves. It is to be called on the
// event loop.
func (s *Server) Shutdown(timeout time.Duration) {
	if s.draining {
		return
	}
	s.draining = true
	slog.Info("draining", "grace", timeout)
	s.agent.Drain(timeout)
	s.waitForAgentDrain(s.Now() + timeout + leaveGrace)
}

func (s *Server) waitForAgentDrain(deadline time.Duration) {
	if s.agent.Drained() || s.Now() >= deadline {
		s.Quit()
		return
	}
	s.ScheduleAt(s.Now()+leavePollInterval, func() { s.waitForAgentDrain(deadline) })
}
