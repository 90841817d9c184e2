// Command wirehost hosts many instances of the decision module on the simulator's wire: events on
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
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends. A reply is written whole or, on a fault, not at all.
func serve(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	h := newHost()
	var long []byte
	for n := 1; ; n++ {
		text, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) { // a line longer than the buffer
			long = append(long[:0], text...)
			text, err = lines.ReadBytes('\n')
			text = append(long, text...)
		}
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if h.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", n)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", n, err)
		}
		done, err := h.take(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if done {
			if _, err := out.Write(h.reply.Finish()); err != nil {
				return fmt.Errorf("writing a reply: %w", err)
			}
		}
	}
}
