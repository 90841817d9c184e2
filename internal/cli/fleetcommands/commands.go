// Package fleetcommands is the commands of the program that has the fleet's parts linked.
package fleetcommands

import (
	"lanewheel/internal/cli"
	"lanewheel/internal/config"
	"lanewheel/internal/drill"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// Commands is all that lanewheel-fleet has beside lanewheel.
func Commands() cli.Components {
	return cli.Components{FleetHooks: joinFleet, RunProxy: runProxy, RunAllocator: runAllocator, ShowMembers: showMembers, RunDrill: runDrill, ShowRecord: showRecord, CompareRecords: compareRecords, CoordinatorFuncs: cli.CoordinatorFuncs{Request: runCoordinatorCommand, RunDrillHook: drill.RunHook}}
}

// GossipConfig puts together what the part goes by.
func GossipConfig(fleet *config.Fleet, name, address string, keys []membership.Key) gossip.Config {
	if fleet.Name != "" {
		name = fleet.Name
	}
	if fleet.ServiceAddress != "" {
		address = fleet.ServiceAddress
	}
	return gossip.Config{Name: membership.Name(name), Cluster: fleet.Cluster, ListenAddr: fleet.ListenAddress, AdvertiseAddr: fleet.AdvertiseAddress, ServiceAddr: address, Roles: fleet.Roles, Zone: fleet.Zone, Release: fleet.Release,
		Capacity: fleet.Capacity, WarmUp: fleet.WarmUp, Keys: keys, ProbeInterval: fleet.ProbeInterval, MaxMessageRate: fleet.MaxMessageRate, StatusSocket: fleet.StatusSocket, LeaveWhenFenced: fleet.DrainWhenFenced, DrainByPermit: fleet.RequirePermit, Membership: fleet.Config}
}
