package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the maximum number of lines that wait to be written. It is enough
// for some seconds at the highest rate at which closing connections are logged.
const maxQueuedLines = 256

// flushPollInterval is the interval at which flush checks for unwritten lines.
const flushPollInterval = 100 * time.Microsecond

// asyncWriter writes lines on a separate goroutine. If the reader of the log stops reading, its pipe fills, and the
// next line would block the goroutine that logs it: the event loop, and with it every response. Any goroutine may
// call its methods.
type asyncWriter struct {
	destination io.Writer // used by the writing goroutine only
	lines       chan []byte
	dropped     atomic.Uint64 // number of lines dropped since the last line was written
	unwritten   atomic.Int64  // number of lines that are queued or being written
}

// newAsyncWriter starts a writer that runs until the program exits.
func newAsyncWriter(destination io.Writer) *asyncWriter {
	writer := &asyncWriter{destination: destination, lines: make(chan []byte, maxQueuedLines)}
	go writer.run()
	return writer
}

// run writes the lines. It ignores write errors, because there is nowhere to report them.
func (w *asyncWriter) run() {
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			now := time.Now().UTC().Format(time.RFC3339Nano)
			_, _ = fmt.Fprintf(w.destination, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n", now, dropped)
		}
		_, _ = w.destination.Write(line)
		w.unwritten.Add(-1)
	}
}

// Write queues one line and never blocks: if the queue is full, the line is dropped and counted.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.unwritten.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.unwritten.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits until all lines are written or the timeout expires.
func (w *asyncWriter) flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for w.unwritten.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(flushPollInterval)
	}
}
