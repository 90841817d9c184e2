package logging

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// A log reader that stops reading does not block goroutines that log. Lines that do not fit into the queue are counted,
// and their number is logged when it reads again.
func Example_stoppedReader() {
	reader, pipe := io.Pipe()
	writer := newAsyncWriter(pipe)
	for i := range maxQueuedLines + 10 { // one line is being written, maxQueuedLines wait, the rest are dropped
		if i == 1 {
			for len(writer.lines) > 0 { // until the writing goroutine has received the first line
				time.Sleep(time.Millisecond)
			}
		}
		_, _ = fmt.Fprintln(writer, "line", i) // never fails
	}
	writer.flush(time.Millisecond) // times out
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
