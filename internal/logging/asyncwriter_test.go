package logging

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// A reader that stops holds up nobody who logs. Lines that there is no room for are counted, and reported once it reads
// again.
func Example_stoppedReader() {
	reader, pipe := io.Pipe()
	writer := newAsyncWriter(pipe)
	for i := range maxQueuedLines + 10 { // one line is being written, the rest wait, some are dropped
		if i == 1 {
			for len(writer.lines) > 0 { // the first has been taken by then
				time.Sleep(time.Millisecond)
			}
		}
		_, _ = fmt.Fprintln(writer, "line", i) // never fails
	}
	writer.flush(time.Millisecond) // in vain
	fmt.Println("waiting:", writer.unwritten.Load())
	go func() {
		writer.flush(time.Minute)
		_ = pipe.Close() // never fails
	}()
	text, _ := io.ReadAll(reader) // ends with the pipe
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	_, report, _ := strings.Cut(lines[1], "level=")
	fmt.Println(len(lines), lines[0], "|", report, "|", lines[len(lines)-1])
	// Output:
	// waiting: 257
	// 258 line 0 | WARN msg="log lines dropped" count=9 | line 256
}
