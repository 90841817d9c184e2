// Command lanewheel-coordinator is lanewheel-fleet with the coordinators' replicated log linked. It is a program of its
// own because the log takes memory at rest; lanewheel hands over to it for its coordinator command.
package main

import (
	"os"

	"lanewheel/internal/cli"
	"lanewheel/internal/cli/coordinatorcommands"
	"lanewheel/internal/cli/fleetcommands"
)

func main() {
	cli.Link(coordinatorcommands.WithCoordinator(fleetcommands.Commands()))
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
