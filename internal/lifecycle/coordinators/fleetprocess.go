package coordinators

import (
	"log/slog"

	"lanewheel/internal/fleet/coordinator"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// leaderMetric is the metric that identifies the leader to the members: 1 at the leader, 0 at the other coordinators.
const leaderMetric = "leads"

// fleetProcess connects a coordinator and its agent. It implements gossip.Process for the agent and coordinator.Fleet
// for the coordinator. It has no state of its own; any goroutine may call its methods.
type fleetProcess struct {
	coordinator *coordinator.Coordinator
	agent       *gossip.Agent
}

// Status implements gossip.Process.
func (p *fleetProcess) Status(callback func(gossip.ProcessStatus)) {
	leads := 0.0
	if p.coordinator.IsLeader() {
		leads = 1
	}
	callback(gossip.ProcessStatus{
		Ready:   p.coordinator.Ready(),
		Metrics: []membership.Metric{{Name: leaderMetric, Value: leads}},
	})
}

// Load implements gossip.Process. The load is 0, because a coordinator serves no requests.
func (p *fleetProcess) Load(callback func(float64, gossip.RequestStats)) {
	callback(0, gossip.RequestStats{})
}

// Drain implements gossip.Process. Coordinators need permits to leave, as all members do.
func (p *fleetProcess) Drain(uint64) { p.shutdown() }

// OnFenced implements gossip.Process.
func (p *fleetProcess) OnFenced() { p.shutdown() }

func (p *fleetProcess) shutdown() {
	slog.Info("draining", "grace", shutdownTimeout)
	p.agent.Drain(shutdownTimeout)
	p.coordinator.Shutdown()
}

// View implements coordinator.Fleet.
func (p *fleetProcess) View() *membership.View { return p.agent.View() }

// NotifyPermit implements coordinator.Fleet.
func (p *fleetProcess) NotifyPermit(
	name membership.Name, incarnation membership.Incarnation, permitID uint64, begun bool,
) {
	p.agent.NotifyPermit(name, incarnation, permitID, begun)
}

// QueryStats implements coordinator.Fleet.
func (p *fleetProcess) QueryStats(name membership.Name, callback func(gossip.RequestStats)) {
	p.agent.Post(func() { p.agent.QueryStats(name, callback) })
}
