package fleetcommands

import (
	"os"

	"lanewheel/internal/fleet/allocator"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/lifecycle/allocators"
	"lanewheel/internal/membership"
)

// runAllocator runs a desk.
func runAllocator(operatorPath, logFormat string) error {
	return allocators.Run(operatorPath, logFormat, func(process *allocator.Server, operatorConfig *lifecycle.OperatorConfig) (func(*lifecycle.OperatorConfig), error) {
		gossipConfig := func(operatorConfig *lifecycle.OperatorConfig) gossip.Config {
			fleet := operatorConfig.File.Fleet
			fleet.Roles = membership.RoleUpstream
			return GossipConfig(&fleet, "", "", operatorConfig.ClusterKeys)
		}
		agent, err := gossip.New(gossipConfig(operatorConfig), process, uint64(os.Getpid()))
		if err != nil {
			return nil, err
		}
		process.Attach(agent)
		agent.Start()
		return func(operatorConfig *lifecycle.OperatorConfig) {
			agent.SetConfig(gossipConfig(operatorConfig))
			process.SetConfig(operatorConfig.File.Allocator.Config)
		}, nil
	})
}
