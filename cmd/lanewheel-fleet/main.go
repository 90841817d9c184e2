// Command lanewheel-fleet is lanewheel with the parts linked that speak to other processes, and the drill. They are a program of
// their own because what they link takes memory at rest; lanewheel hands over to it where it is wanted.
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
