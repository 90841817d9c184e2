package cli

import (
	"errors"
	"os"

	"lanewheel/internal/lifecycle"
	"lanewheel/internal/logging"
)

// serveCommand runs one instance, as the platform does by starting the program without arguments.
type serveCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI); reloaded on SIGHUP." placeholder:"FILE" type:"path"`
	logFlag
}

func (c *serveCommand) Run() error {
	if serve(c.Operator, c.Log) != exitSuccess {
		return errReported
	}
	return nil
}

// serve runs an instance until it has ended and returns the exit code. If the operator's file requires the fleet
// packages and they are not linked, it executes fleetProgram.
func serve(operatorFile, logFormat string) int {
	options := lifecycle.Options{
		ConfigPath:   os.Getenv("RELAY_CONFIG"),
		OperatorPath: operatorFile,
		LogFormat:    logging.Format(logFormat),
	}
	var joinFleet lifecycle.FleetJoiner
	if components != nil {
		joinFleet = components.JoinFleet
	}
	err := lifecycle.Run(options, joinFleet)
	if errors.Is(err, lifecycle.ErrFleetNotLinked) {
		err = execProgram(fleetProgram)
	}
	if reportStartFailure(err) != nil {
		return exitFailure
	}
	return exitSuccess
}
