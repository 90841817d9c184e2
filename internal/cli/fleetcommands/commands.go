// Package fleetcommands implements the commands that communicate with other processes of the fleet, and the drill. It
// is linked into lanewheel-fleet and lanewheel-coordinator.
package fleetcommands

import (
	"lanewheel/internal/cli"
	"lanewheel/internal/config"
	"lanewheel/internal/drill"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/membership"
)

// Commands returns the functions that lanewheel-fleet provides in addition to lanewheel. RunCoordinator is nil.
func Commands() cli.Components {
	return cli.Components{
		JoinFleet:      joinFleet,
		RunProxy:       runProxy,
		RunAllocator:   runAllocator,
		ShowMembers:    showMembers,
		RunDrill:       runDrill,
		ShowRecord:     showRecord,
		CompareRecords: compareRecords,
		CoordinatorFuncs: cli.CoordinatorFuncs{
			Request:      runCoordinatorCommand,
			RunDrillHook: drill.RunHook,
		},
	}
}

// StandaloneGossipConfig returns the gossip configuration of a process that is neither a server nor a proxy and has
// only the given role.
func StandaloneGossipConfig(operatorConfig *lifecycle.OperatorConfig, role membership.Roles) gossip.Config {
	fleet := operatorConfig.File.Fleet
	fleet.Roles = role
	return gossipConfig(&fleet, "", "", operatorConfig.ClusterKeys)
}

// gossipConfig returns the gossip configuration for the section [fleet]. name is the member's name and address its
// service address if the section does not set them.
func gossipConfig(fleet *config.Fleet, name, address string, keys []membership.Key) gossip.Config {
	if fleet.Name != "" {
		name = fleet.Name
	}
	if fleet.ServiceAddress != "" {
		address = fleet.ServiceAddress
	}
	return gossip.Config{
		Name:            membership.Name(name),
		Cluster:         fleet.Cluster,
		ListenAddr:      fleet.ListenAddress,
		AdvertiseAddr:   fleet.AdvertiseAddress,
		ServiceAddr:     address,
		Roles:           fleet.Roles,
		Zone:            fleet.Zone,
		Release:         fleet.Release,
		Capacity:        fleet.Capacity,
		WarmUp:          fleet.WarmUp,
		Keys:            keys,
		ProbeInterval:   fleet.ProbeInterval,
		MaxMessageRate:  fleet.MaxMessageRate,
		StatusSocket:    fleet.StatusSocket,
		DrainWhenFenced: fleet.DrainWhenFenced,
		DrainByPermit:   fleet.RequirePermit,
		Membership:      fleet.Config,
	}
}
