// Command lanewheel-fleet is lanewheel linked with the packages that communicate with other processes of the fleet, and
// with the drill. It is a separate program because these packages take memory even when idle. lanewheel executes it for
// the commands that need them.
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
