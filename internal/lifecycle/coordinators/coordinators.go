// Package coordinators starts and stops a coordinator, the process that holds the agreed state of the fleet.
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
	shutdownTimeout     = 2 * time.Second // maximum time for leaving the fleet
	drainedPollInterval = 10 * time.Millisecond
)

// Formation selects how the group of coordinators is formed. With the zero value, the coordinator joins an existing
// group.
type Formation struct {
	Bootstrap       bool // start a new group
	ForceNewCluster bool // continue alone with the state that this coordinator has stored
}

// Attach returns the agent, not yet started, through which a coordinator communicates with its fleet. The returned
// function applies an operator's file that was read again; it is called on the goroutine that handles signals.
type Attach func(
	process gossip.Process, operatorConfig *lifecycle.OperatorConfig,
) (agent *gossip.Agent, reload func(*lifecycle.OperatorConfig), err error)

// Run starts the coordinator that the operator's file configures, and serves until a signal to terminate. It is called
// on the main goroutine.
func Run(options lifecycle.Options, formation Formation, attach Attach) error {
	started, err := lifecycle.StartStandalone(options, "must have the sections [fleet] and [coordinator]",
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
		time.Sleep(drainedPollInterval)
	}
	return nil
}
