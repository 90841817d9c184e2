// Package allocator is the process beside a service below: it says in the fleet where the service is and whether it takes connections, and grants
// instances their calls. internal/concurrencylease decides.
package allocator

import (
	"log/slog"
	"net"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// Server is one such process: a gossip.Process. All of it belongs to its loop.
type Server struct {
	*eventloop.Loop
	serviceAddr string
	config      concurrencylease.Config
	allocator   *concurrencylease.Allocator
	agent       *gossip.Agent
	serviceUp   bool // the service takes connections
	draining    bool
	loggedCalls int // granted, as last logged
}

// New makes a desk that grants nothing yet.
func New(config concurrencylease.Config, serviceAddr string) *Server {
	return &Server{Loop: eventloop.New(1 << 12), serviceAddr: serviceAddr, config: config}
}

// Attach gives it the part by which it speaks to the fleet, before that is started.
func (d *Server) Attach(agent *gossip.Agent) {
	d.agent = agent
	d.allocator = concurrencylease.NewAllocator(d.config, agent.View().Self.BootID, d.Now())
	agent.OnLeaseRequest = func(request concurrencylease.Request, reply func(concurrencylease.Lease)) {
		d.Post(func() {
			if lease, ok := d.allocator.HandleRequest(d.Now(), request); ok {
				reply(lease)
			}
		})
	}
	agent.Subscribe(func(view *membership.View) {
		if view.LocalHealth == membership.LocalFenced { // Danger: two that grant the same calls
			d.Post(d.allocator.Fence)
		}
	})
}

// SetConfig takes values that were told anew.
func (d *Server) SetConfig(config concurrencylease.Config) {
	d.Post(func() { d.allocator.SetConfig(config) })
}

// Serve runs the loop until the desk has left.
func (d *Server) Serve() {
	d.Post(func() { d.logCommitted() })
	go d.probeService()
	d.Run(func() {})
}

// probeService sees, once a second, whether the service takes connections. It works beside the loop, as a connection may take its time.
func (d *Server) probeService() {
	for {
		conn, err := net.DialTimeout("tcp", d.serviceAddr, 500*time.Millisecond)
		if err == nil {
			conn.Close()
		}
		d.Post(func() {
			if up := err == nil; up != d.serviceUp {
				d.serviceUp = up
				slog.Info("service", "addr", d.serviceAddr, "up", up)
			}
		})
		time.Sleep(time.Second)
	}
}

// logCommitted writes how much is granted where that has changed by much.
func (d *Server) logCommitted() {
	calls, holders := d.allocator.Committed(d.Now())
	if step := max(4, d.config.Capacity/4); calls-d.loggedCalls >= step || d.loggedCalls-calls >= step || calls == 0 && d.loggedCalls > 0 {
		d.loggedCalls = calls
		slog.Info("granted", "calls", calls, "of", d.config.LeasableCalls(), "holders", holders, "quiet", d.allocator.RenewOnly(d.Now()))
	}
	d.ScheduleAt(d.Now()+time.Second, d.logCommitted)
}

// Status is gossip.Process.
func (d *Server) Status(then func(gossip.ProcessStatus)) {
	d.Post(func() {
		calls, holders := d.allocator.Committed(d.Now())
		then(gossip.ProcessStatus{Ready: d.serviceUp, Draining: d.draining, Metrics: []membership.Metric{{Name: "cap", Value: float64(d.config.Capacity)},
			{Name: "granted", Value: float64(calls)}, {Name: "holders", Value: float64(holders)}}})
	})
}

// Load is gossip.Process.
func (d *Server) Load(then func(float64, gossip.RequestStats)) {
	d.Post(func() {
		calls, _ := d.allocator.Committed(d.Now())
		then(float64(calls), gossip.RequestStats{})
	})
}

// Drain is gossip.Process: what was granted runs out, and the service is no member's any more.
func (d *Server) Drain(number uint64) { d.Post(func() { d.Shutdown(time.Second) }) }

// Fenced is gossip.Process.
func (d *Server) Fenced() { d.Post(d.allocator.Fence) }

// Shutdown is the notice to go: what was granted runs out by itself.
func (d *Server) Shutdown(timeout time.Duration) {
	if d.draining {
		return
	}
	d.draining = true
	slog.Info("leaving", "kill_ms", timeout.Milliseconds())
	d.agent.Drain(timeout)
	d.awaitAgent(d.Now() + timeout + 200*time.Millisecond)
}

func (d *Server) awaitAgent(deadline time.Duration) {
	if d.agent.Drained() || d.Now() >= deadline {
		d.Quit()
		return
	}
	d.ScheduleAt(d.Now()+10*time.Millisecond, func() { d.awaitAgent(deadline) })
}
