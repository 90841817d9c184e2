// Package coordinators is the start and the stop of a steward.
package coordinators

import (
	"log/slog"
	"runtime"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/fleet/coordinator"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/membership"
)

// Attach makes the part of a steward that speaks to the fleet, and gives what takes an operator's file that was read anew.
type Attach func(p gossip.Process, o *lifecycle.OperatorConfig) (part *gossip.Agent, reload func(*lifecycle.OperatorConfig), err error)

// shutdownTimeout is how long a steward takes to leave.
const shutdownTimeout = 2 * time.Second

// Run starts the steward that the operator's file tells of.
func Run(configPath, logFormat string, bootstrap, forceNewCluster bool, attach Attach) error {
	signals, operatorConfig, err := lifecycle.StartStandalone(configPath, logFormat, "wants the sections [fleet] and [coordinator]", func(f *config.Operator) bool { return f.Coordinator.Enabled })
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(2)
	config := operatorConfig.File.Coordinator.Config
	config.Bootstrap, config.ForceNewCluster, config.ClusterKeys = bootstrap, forceNewCluster, operatorConfig.ClusterKeys
	node, err := coordinator.New(config)
	if err != nil {
		return err
	}
	adapter := &fleetAdapter{coordinator: node}
	agent, reload, err := attach(adapter, &operatorConfig)
	if err != nil {
		return err
	}
	adapter.agent = agent
	agent.OnPermitBegin = node.BeginPermit
	agent.Start()
	slog.Info("steward", "name", config.Name, "at", config.AdvertiseAddr, "others", len(config.Coordinators))
	go lifecycle.HandleSignals(signals, configPath, operatorConfig, func() { adapter.shutdown() }, func(o *lifecycle.OperatorConfig) {
		reload(o)
		node.SetClusterKeys(o.ClusterKeys)
	})
	node.Serve(adapter)
	for end := time.Now().Add(shutdownTimeout); !agent.Drained() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// fleetAdapter speaks for a steward in the fleet: a gossip.Process and a steward.Fleet.
type fleetAdapter struct {
	coordinator *coordinator.Coordinator
	agent       *gossip.Agent
}

func (p *fleetAdapter) Status(then func(gossip.ProcessStatus)) {
	isLeader := 0.0
	if p.coordinator.IsLeader() {
		isLeader = 1
	}
	then(gossip.ProcessStatus{Ready: p.coordinator.Ready(), Metrics: []membership.Metric{{Name: "leads", Value: isLeader}}})
}

func (p *fleetAdapter) Load(then func(float64, gossip.RequestStats)) { then(0, gossip.RequestStats{}) }

// Drain has it leave: stewards go out by permits as all members do.
func (p *fleetAdapter) Drain(uint64) { p.shutdown() }
func (p *fleetAdapter) Fenced()      { p.shutdown() }

func (p *fleetAdapter) shutdown() {
	slog.Info("leaving", "kill_ms", shutdownTimeout.Milliseconds())
	p.agent.Drain(shutdownTimeout)
	p.coordinator.Shutdown()
}

func (p *fleetAdapter) View() *membership.View { return p.agent.View() }

func (p *fleetAdapter) NotifyPermit(name membership.Name, of membership.Incarnation, number uint64, begun bool) {
	p.agent.NotifyPermit(name, of, number, begun)
}

func (p *fleetAdapter) QueryStats(name membership.Name, then func(gossip.RequestStats)) {
	p.agent.Post(func() { p.agent.QueryStats(name, then) })
}
