package lifecycle

import (
	"errors"

	"lanewheel/internal/server"
)

// FleetJoiner brings a server into the fleet, and to the upstream services, that the operator's file names. It is
// called before the server serves. The function that it returns puts a file that was read again in force; any
// goroutine may call it, one call at a time.
type FleetJoiner func(
	joining *server.Server, config server.Config, operatorConfig *OperatorConfig,
) (reload func(*OperatorConfig), err error)

// ErrFleetNotLinked says that the operator's file asks for parts that this program has not linked.
var ErrFleetNotLinked = errors.New(
	"the operator's file tells of a fleet or of services, which another program has linked")
