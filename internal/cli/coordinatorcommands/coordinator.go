// Package coordinatorcommands implements the command that runs a coordinator. It is linked only into
// lanewheel-coordinator, together with the coordinators' replicated log.
package coordinatorcommands

import (
	"os"

	"lanewheel/internal/cli"
	"lanewheel/internal/cli/fleetcommands"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/lifecycle/coordinators"
	"lanewheel/internal/logging"
	"lanewheel/internal/membership"
)

// WithCoordinator returns the commands of lanewheel-fleet with RunCoordinator added.
func WithCoordinator(commands cli.Components) cli.Components {
	commands.RunCoordinator = func(operatorPath, logFormat string, bootstrap, forceNewCluster bool) error {
		options := lifecycle.Options{OperatorPath: operatorPath, LogFormat: logging.Format(logFormat)}
		formation := coordinators.Formation{Bootstrap: bootstrap, ForceNewCluster: forceNewCluster}
		return coordinators.Run(options, formation, attach)
	}
	return commands
}

// attach creates the gossip agent of a coordinator. The returned function applies a reloaded operator's file to the
// agent.
func attach(
	process gossip.Process, operatorConfig *lifecycle.OperatorConfig,
) (*gossip.Agent, func(*lifecycle.OperatorConfig), error) {
	agentConfig := fleetcommands.StandaloneGossipConfig(operatorConfig, membership.RoleCoordinator)
	agent, err := gossip.New(agentConfig, process, uint64(os.Getpid()))
	if err != nil {
		return nil, nil, err
	}
	reload := func(operatorConfig *lifecycle.OperatorConfig) {
		agent.SetConfig(fleetcommands.StandaloneGossipConfig(operatorConfig, membership.RoleCoordinator))
	}
	return agent, reload, nil
}
