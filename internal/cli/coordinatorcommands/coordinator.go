// Package coordinatorcommands adds the steward to the commands of the program that has its log linked.
package coordinatorcommands

import (
	"os"

	"lanewheel/internal/cli"
	"lanewheel/internal/cli/fleetcommands"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/lifecycle/coordinators"
	"lanewheel/internal/membership"
)

// WithCoordinator adds to what lanewheel-fleet has.
func WithCoordinator(commands cli.Components) cli.Components {
	commands.RunCoordinator = func(operatorPath, logFormat string, bootstrap, recoverAlone bool) error {
		return coordinators.Run(operatorPath, logFormat, bootstrap, recoverAlone, func(process gossip.Process, operatorConfig *lifecycle.OperatorConfig) (*gossip.Agent, func(*lifecycle.OperatorConfig), error) {
			gossipConfig := func(operatorConfig *lifecycle.OperatorConfig) gossip.Config {
				fleet := operatorConfig.File.Fleet
				fleet.Roles = membership.RoleCoordinator
				return fleetcommands.GossipConfig(&fleet, "", "", operatorConfig.ClusterKeys)
			}
			agent, err := gossip.New(gossipConfig(operatorConfig), process, uint64(os.Getpid()))
			if err != nil {
				return nil, nil, err
			}
			return agent, func(operatorConfig *lifecycle.OperatorConfig) { agent.SetConfig(gossipConfig(operatorConfig)) }, nil
		})
	}
	return commands
}
