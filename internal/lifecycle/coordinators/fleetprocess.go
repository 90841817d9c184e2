package coordinators

import (
	"log/slog"

	"lanewheel/internal/fleet/coordinator"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// leaderMetric is the metric by which members know the leader: 1 at the leader, 0 at the others.
const leaderMetric = "leads"

// fleetProcess is a coordinator as its agent sees it, a gossip.Process, and the fleet as the coordinator sees it, a
// coordinator.Fleet. It has no state of its own; any goroutine may call its methods.
type fleetProcess struct {
	coordinator *coordinator.Coordinator
	agent       *gossip.Agent
}

// Status implements gossip.Process.
func (p *fleetProcess) Status(then func(gossip.ProcessStatus)) {
	leads := 0.0
	if p.coordinator.IsLeader() {
		leads = 1
	}
	then(gossip.ProcessStatus{
		Ready:   p.coordinator.Ready(),
		Metrics: []membership.Metric{{Name: leaderMetric, Value: leads}},
	})
}

// Load implements gossip.Process: a coordinator serves no requests.
func (p *fleetProcess) Load(then func(float64, gossip.RequestStats)) { then(0, gossip.RequestStats{}) }

// Drain implements gossip.Process: coordinators go out by permits as all members do.
func (p *fleetProcess) Drain(uint64) { p.shutdown() }

// Fenced implements gossip.Process.
func (p *fleetProcess) Fenced() { p.shutdown() }

func (p *fleetProcess) shutdown() {
	slog.Info("draining", "grace", shutdownTimeout)
	p.agent.Drain(shutdownTimeout)
	p.coordinator.Shutdown()
}

// View implements coordinator.Fleet.
func (p *fleetProcess) View() *membership.View { return p.agent.View() }

// NotifyPermit implements coordinator.Fleet.
func (p *fleetProcess) NotifyPermit(
	name membership.Name, incarnation membership.Incarnation, permit uint64, begun bool,
) {
	p.agent.NotifyPermit(name, incarnation, permit, begun)
}

// QueryStats implements coordinator.Fleet.
func (p *fleetProcess) QueryStats(name membership.Name, then func(gossip.RequestStats)) {
	p.agent.Post(func() { p.agent.QueryStats(name, then) })
}
