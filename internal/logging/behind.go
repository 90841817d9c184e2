package logging

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// asyncWriter writes lines behind whoever logs them. Danger: the reader of our log stops reading, its pipe is full, and the next line holds up the
// owner loop, and with it every answer, for as long as that lasts.
type asyncWriter struct {
	destination io.Writer
	lines       chan []byte
	dropped     atomic.Uint64
	unwritten   atomic.Int64 // lines that are not written yet
}

// maxQueuedLines is how many lines wait: some seconds of the most that a crowd of ending connections leaves.
const maxQueuedLines = 256

// newAsyncWriter starts a queue before w, for as long as the program runs.
func newAsyncWriter(w io.Writer) *asyncWriter {
	writer := &asyncWriter{destination: w, lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range writer.lines {
			if n := writer.dropped.Swap(0); n > 0 {
				fmt.Fprintf(writer.destination, "time=%s level=WARN msg=lines-dropped more=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
			}
			_, _ = writer.destination.Write(line)
			writer.unwritten.Add(-1)
		}
	}()
	return writer
}

// Write takes one line and never waits. What there is no room for is counted.
func (q *asyncWriter) Write(line []byte) (int, error) {
	q.unwritten.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.unwritten.Add(-1)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all is written, or for so long. It belongs to the end of the program.
func (q *asyncWriter) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); q.unwritten.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(100 * time.Microsecond)
	}
}

var programWriter *asyncWriter

// Setup has all of the program log to w by a queue, for as long as it runs.
func Setup(w io.Writer, format string) {
	if programWriter == nil {
		programWriter = newAsyncWriter(w)
	}
	setDefault(programWriter, format)
}

// Flush has the last lines written. One whose reader has stopped gets a moment only: the program may be killed a fiftieth of a second later.
func Flush() {
	if programWriter == nil {
		return
	}
	timeout := time.Second
	if file, isFile := programWriter.destination.(*os.File); isFile {
		pollFDs := []unix.PollFd{{Fd: int32(file.Fd()), Events: unix.POLLOUT}}
		if n, err := unix.Poll(pollFDs, 0); n == 0 && err == nil {
			timeout = 10 * time.Millisecond
		}
	}
	programWriter.Flush(timeout)
}
