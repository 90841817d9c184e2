package lifecycle

import (
	"errors"
	"fmt"

	"lanewheel/internal/config"
	"lanewheel/internal/server"
)

// FleetJoiner brings an instance into its fleet, if the file tells of one, to the services that it tells of, and gives what takes a file that was read anew.
type FleetJoiner func(in *server.Server, told server.Config, o *OperatorConfig) (reload func(*OperatorConfig), err error)

// JoinFleet is set by a program that has the fleet's parts linked; they take memory at rest, so not every program has.
var JoinFleet FleetJoiner

// ErrFleetNotLinked says that the operator's file asks for what this program has not linked.
var ErrFleetNotLinked = errors.New("the operator's file tells of a fleet or of services, which another program has linked")

// readFleet reads what the part needs beside the operator's file.
func (s fileDigest) readFleet(operatorConfig *OperatorConfig) error {
	path := operatorConfig.File.Fleet.KeyFile
	text, err := s.readFile(path)
	if err != nil {
		return err
	}
	operatorConfig.ClusterKeys, err = config.ParseClusterKeys(path, text)
	return err
}

// fixedFleetSettings is all of the section that holds from the start on, as text to compare.
func fixedFleetSettings(f *config.Fleet) string {
	return fmt.Sprint(f.Enabled, f.Name, f.Cluster, f.ListenAddress, f.AdvertiseAddress, f.ServiceAddress, f.Roles, f.Zone, f.Release, f.Capacity, f.WarmUp, f.ProbeInterval, f.StatusSocket, f.DrainWhenFenced, f.RequirePermit)
}
