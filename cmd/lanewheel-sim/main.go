// Command lanewheel-sim hosts many instances of the decision module on the simulator's wire: events on
// standard input, actions on standard output. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lanewheel-sim:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends. A reply is written whole or, on a fault, not at all.
func serve(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	sim := newSimulation()
	var longLine []byte
	for lineNumber := 1; ; lineNumber++ {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) { // a line longer than the buffer
			longLine = append(longLine[:0], line...)
			line, err = lines.ReadBytes('\n')
			line = append(longLine, line...)
		}
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if sim.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", lineNumber)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		batchClosed, err := sim.handleLine(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if batchClosed {
			if _, err := out.Write(sim.reply.Finish()); err != nil {
				return fmt.Errorf("writing a reply: %w", err)
			}
		}
	}
}
