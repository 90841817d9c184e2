package fleetcommands

import (
	"os"

	"lanewheel/internal/fleet/allocator"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/lifecycle/allocators"
	"lanewheel/internal/logging"
	"lanewheel/internal/membership"
)

// runAllocator runs an allocator, which grants leases for the concurrency of upstream services, until it has drained.
func runAllocator(operatorPath, logFormat string) error {
	return allocators.Run(standaloneOptions(operatorPath, logFormat), attachAllocator)
}

// standaloneOptions returns the options of a process that does not read the platform's configuration.
func standaloneOptions(operatorPath, logFormat string) lifecycle.Options {
	return lifecycle.Options{OperatorPath: operatorPath, LogFormat: logging.Format(logFormat)}
}

// attachAllocator creates and starts the gossip agent of an allocator. The returned function applies a reloaded
// operator's file to the agent and the allocator.
func attachAllocator(
	process *allocator.Server, operatorConfig *lifecycle.OperatorConfig,
) (func(*lifecycle.OperatorConfig), error) {
	agentConfig := StandaloneGossipConfig(operatorConfig, membership.RoleUpstream)
	agent, err := gossip.New(agentConfig, process, uint64(os.Getpid()))
	if err != nil {
		return nil, err
	}
	process.Attach(agent)
	agent.Start()
	return func(operatorConfig *lifecycle.OperatorConfig) {
		agent.SetConfig(StandaloneGossipConfig(operatorConfig, membership.RoleUpstream))
		process.SetConfig(operatorConfig.File.Allocator.Config)
	}, nil
}
