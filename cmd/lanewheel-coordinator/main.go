// Command lanewheel-steward is lanewheel-fleet with the stewards' log linked. It is a program of its own because that takes memory at rest;
// lanewheel hands over to it for "lanewheel steward".
package main

import (
	"os"

	"lanewheel/internal/command"
	"lanewheel/internal/command/further"
	"lanewheel/internal/command/further/agreed"
)

func main() {
	command.Link(agreed.WithCoordinator(further.Commands()))
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
