// Command lanewheel-sim hosts many instances of the decisions on the simulator's wire: events on standard input,
// actions on standard output. It exits with 1 after an error, which it prints on standard error.
package main

import (
	"fmt"
	"os"

	"lanewheel/internal/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lanewheel-sim:", err)
		os.Exit(1)
	}
}
