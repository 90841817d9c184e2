// Command lanewheel-sim runs the admission decisions of many instances under the simulator's protocol: it reads events
// from standard input and writes actions to standard output. On an error it prints the error to standard error and
// exits with 1.
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
