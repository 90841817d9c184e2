// Command lanewheel-coordinator is lanewheel-fleet linked with the coordinators' replicated log. It is a separate
// program because the log takes memory even when idle. lanewheel executes it for the command "coordinator".
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
