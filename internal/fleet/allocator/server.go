// Package allocator implements the process that runs beside an upstream service. It reports to the fleet where the
// service is and whether it accepts connections, and grants leases of concurrent calls to the service.
// internal/concurrencylease decides which leases are granted.
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
	// maxPendingCallbacks is the maximum length of the event loop's queue.
	maxPendingCallbacks = 1 << 12
	// probeInterval is the interval at which the service is probed by opening a connection.
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// logInterval is the interval at which the number of leased calls is compared with the last logged number.
	logInterval = time.Second
	// permitDrainTimeout is the timeout for leaving the fleet after this process's permit has begun.
	permitDrainTimeout = time.Second
	// leaveGrace is the time that the server waits for the gossip agent after the timeout of a shutdown.
	leaveGrace        = 200 * time.Millisecond
	leavePollInterval = 10 * time.Millisecond
)

// Server is an allocator process. It implements gossip.Process. Its fields are owned by its event loop. Its exported
// methods may be called from any goroutine unless their comment states otherwise.
type Server struct {
	*eventloop.Loop
	serviceAddr string
	config      concurrencylease.Config
	allocator   *concurrencylease.Allocator
	agent       *gossip.Agent
	serviceUp   bool // the service accepts connections
	draining    bool
	loggedCalls int // number of leased calls at the last log message
}

// New returns a server that grants no leases before Attach is called.
func New(config concurrencylease.Config, serviceAddr string) *Server {
	return &Server{Loop: eventloop.New(maxPendingCallbacks), serviceAddr: serviceAddr, config: config}
}

// Attach sets the gossip agent through which the server communicates with the fleet, and subscribes to the agent's
// lease requests and views. It must be called before the agent is started and before Serve.
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
		if view.LocalHealth == membership.LocalFenced { // otherwise two processes would lease the same calls
			s.Post(s.allocator.Fence)
		}
	})
}

// SetConfig replaces the configuration by which leases are granted.
func (s *Server) SetConfig(config concurrencylease.Config) {
	s.Post(func() { s.allocator.SetConfig(config) })
}

// Serve runs the event loop until it is stopped, normally by Shutdown.
func (s *Server) Serve() {
	stopped := make(chan struct{})
	defer close(stopped)
	s.Post(s.logLeasedCalls)
	go s.probeService(stopped)
	s.Run(func() {})
}

// probeService checks at every probeInterval whether the service accepts connections. It runs on a separate goroutine,
// because opening a connection may take up to probeTimeout.
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

// canConnect reports whether a connection to the service can be opened within probeTimeout.
func (s *Server) canConnect() bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", s.serviceAddr)
	if err != nil {
		return false
	}
	_ = conn.Close() // no data was sent
	return true
}

// setServiceUp records whether the service accepts connections, and logs a change.
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

// logLeasedCalls logs the number of leased calls if it has dropped to 0, or if it has changed since the last log
// message by at least a quarter of the capacity and at least 4. It schedules the next check after logInterval.
func (s *Server) logLeasedCalls() {
	calls, holders := s.allocator.Committed(s.Now())
	step := max(4, s.config.Capacity/4)
	change := max(calls-s.loggedCalls, s.loggedCalls-calls)
	if change >= step || calls == 0 && s.loggedCalls > 0 {
		s.loggedCalls = calls
		slog.Info("leased calls changed", "calls", calls, "leasable", s.config.LeasableCalls(), "holders", holders,
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

// Load implements gossip.Process. The load is the number of leased calls.
func (s *Server) Load(callback func(float64, gossip.RequestStats)) {
	s.Post(func() {
		calls, _ := s.allocator.Committed(s.Now())
		callback(float64(calls), gossip.RequestStats{})
	})
}

// Drain implements gossip.Process. It shuts the server down.
func (s *Server) Drain(_ uint64) { s.Post(func() { s.Shutdown(permitDrainTimeout) }) }

// OnFenced implements gossip.Process. The server grants no more leases.
func (s *Server) OnFenced() { s.Post(s.allocator.Fence) }

// Shutdown leaves the fleet within a timeout and then stops Serve. Granted leases expire on their own. Shutdown must be
// called on the event loop.
func (s *Server) Shutdown(timeout time.Duration) {
	if s.draining {
		return
	}
	s.draining = true
	slog.Info("draining", "grace", timeout)
	s.agent.Drain(timeout)
	s.waitForAgentDrain(s.Now() + timeout + leaveGrace)
}

// waitForAgentDrain stops the event loop once the agent is drained or the deadline has passed.
func (s *Server) waitForAgentDrain(deadline time.Duration) {
	if s.agent.Drained() || s.Now() >= deadline {
		s.Quit()
		return
	}
	s.ScheduleAt(s.Now()+leavePollInterval, func() { s.waitForAgentDrain(deadline) })
}
