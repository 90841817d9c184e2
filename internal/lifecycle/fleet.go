package lifecycle

import (
	"errors"

	"lanewheel/internal/server"
)

// FleetJoiner brings an instance into its fleet, if the file tells of one, to the services that it tells of, and gives what takes a file that was read anew.
type FleetJoiner func(in *server.Server, told server.Config, o *OperatorConfig) (reload func(*OperatorConfig), err error)

// JoinFleet is set by a program that has the fleet's parts linked; they take memory at rest, so not every program has.
var JoinFleet FleetJoiner

// ErrFleetNotLinked says that the operator's file asks for what this program has not linked.
var ErrFleetNotLinked = errors.New("the operator's file tells of a fleet or of services, which another program has linked")
