// Command lanewheel runs one service instance and provides the operator commands.
package main

import (
	"os"

	"lanewheel/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
