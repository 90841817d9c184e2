package cli

import (
	"errors"
	"os"

	"lanewheel/internal/lifecycle"
)

// serveCommand is one instance, as the platform starts it.
type serveCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI); read again at SIGHUP." placeholder:"FILE" type:"path"`
	logFlag
}

func (c *serveCommand) Run() error {
	if serve(c.Operator, c.Log) != exitDone {
		return errReported
	}
	return nil
}

func serve(operatorFile, logFormat string) int {
	err := lifecycle.Run(os.Getenv("RELAY_CONFIG"), operatorFile, logFormat)
	if errors.Is(err, lifecycle.ErrFleetNotLinked) {
		err = execProgram(fleetProgram)
	}
	if reportStartFailure(err) != nil {
		return exitFailed
	}
	return exitDone
}
