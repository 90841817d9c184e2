// Package coordinators starts and stops a coordinator, the process that holds what the fleet has agreed on.
package coordinators

import (
	"log/slog"
	"runtime"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/fleet/coordinator"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
)

const (
	shutdownTimeout = 2 * time.Second // for leaving the fleet
	drainedInterval = 10 * time.Millisecond
)

// Formation is how the group of coordinators is formed. The zero value joins one that there is.
type Formation struct {
	Bootstrap       bool // begin a new group
	ForceNewCluster bool // go on alone with what this one has stored
}

// Attach returns the agent by which a coordinator speaks to its fleet, before it is started. The function that it
// returns puts an operator's file that was read again in force; it is called on the goroutine that handles signals.
type Attach func(
	process gossip.Process, operatorConfig *lifecycle.OperatorConfig,
) (agent *gossip.Agent, reload func(*lifecycle.OperatorConfig), err error)

// Run starts the coordinator that the operator's file configures, and serves until it is told to end. It is called
// on the main goroutine.
func Run(options lifecycle.Options, formation Formation, attach Attach) error {
	started, err := lifecycle.StartStandalone(options, "wants the sections [fleet] and [coordinator]",
		func(file *config.Operator) bool { return file.Coordinator.Enabled })
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(lifecycle.AgentProcessors)
	coordinatorConfig := started.OperatorConfig.File.Coordinator.Config
	coordinatorConfig.Bootstrap = formation.Bootstrap
	coordinatorConfig.ForceNewCluster = formation.ForceNewCluster
	coordinatorConfig.ClusterKeys = started.OperatorConfig.ClusterKeys
	node, err := coordinator.New(coordinatorConfig)
	if err != nil {
		return err
	}
	process := &fleetProcess{coordinator: node}
	agent, reload, err := attach(process, &started.OperatorConfig)
	if err != nil {
		return err
	}
	process.agent = agent
	agent.OnPermitBegin = node.BeginPermit
	agent.Start()
	slog.Info("coordinator started", "member", coordinatorConfig.Name,
		"addr", coordinatorConfig.AdvertiseAddr, "others", len(coordinatorConfig.Coordinators))
	go started.HandleSignals(process.shutdown, func(operatorConfig *lifecycle.OperatorConfig) {
		reload(operatorConfig)
		node.SetClusterKeys(operatorConfig.ClusterKeys)
	})
	node.Serve(process)
	for deadline := time.Now().Add(shutdownTimeout); !agent.Drained() && time.Now().Before(deadline); {
		time.Sleep(drainedInterval)
	}
	return nil
}
