package cli

import (
	"errors"
	"os"

	"lanewheel/internal/lifecycle"
	"lanewheel/internal/logging"
)

// serveCommand is one instance, as the platform starts it.
type serveCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI); read again at SIGHUP." placeholder:"FILE" type:"path"`
	logFlag
}

func (c *serveCommand) Run() error {
	if serve(c.Operator, c.Log) != exitSuccess {
		return errReported
	}
	return nil
}

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
