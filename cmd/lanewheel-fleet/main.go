// Command lanewheel-fleet is lanewheel with the parts linked that speak to other processes, and the drill. They are a program of
// their own because what they link takes memory at rest; lanewheel hands over to it where it is wanted.
package main

import (
	"os"

	"lanewheel/internal/command"
	"lanewheel/internal/command/further"
)

func main() {
	command.Link(further.Commands())
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
