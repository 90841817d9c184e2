package lifecycle

import (
	"errors"

	"lanewheel/internal/server"
)

// FleetJoiner makes an instance join the fleet, and use the upstream services, that the operator's file configures. It
// is called before the server serves. The returned function applies an operator's file that was read again; any
// goroutine may call it, one call at a time.
type FleetJoiner func(
	instance *server.Server, config server.Config, operatorConfig *OperatorConfig,
) (reload func(*OperatorConfig), err error)

// ErrFleetNotLinked is returned if the operator's file enables components that are not linked into this program.
var ErrFleetNotLinked = errors.New(
	"the operator's file enables a fleet or upstream services, which are not linked into this program")
