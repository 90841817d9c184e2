// Command lanewheel-fleet is lanewheel with the parts linked that speak to other processes, and the drill. They are a
// program of their own as what they link takes memory at rest; lanewheel executes it where they are wanted.
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
