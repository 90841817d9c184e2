// Command lanewheel is one service instance on sockets, and the operators' commands round it.
package main

import (
	"os"

	"lanewheel/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
