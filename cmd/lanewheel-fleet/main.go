// Command lanewheel-fleet is lanewheel linked with the drill and with the parts that communicate with other
// instances. They are a separate program because the packages that they link use memory even when idle. The program
// lanewheel executes lanewheel-fleet if these parts are needed.
package main

import (
	"os"

	"lanewheel/internal/cli"
	"lanewheel/internal/cli/fleetcommands"
)

func main() {
	cli.Link(fleetcommands.Commands())
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
