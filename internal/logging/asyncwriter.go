package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines wait: some seconds of the most that closing connections leave.
const maxQueuedLines = 256

// flushInterval is how often flush looks.
const flushInterval = 100 * time.Microsecond

// asyncWriter writes lines on a goroutine of its own. If the reader of the log stops reading, its pipe fills, and
// the next line would hold up whoever logs it, the event loop and with it every response. Any goroutine may call
// its methods.
type asyncWriter struct {
	destination io.Writer // of the writing goroutine
	lines       chan []byte
	dropped     atomic.Uint64 // lines, since the last one that was written
	unwritten   atomic.Int64  // lines that were queued and are not written yet
}

// newAsyncWriter starts a writer, for as long as the program runs.
func newAsyncWriter(destination io.Writer) *asyncWriter {
	writer := &asyncWriter{destination: destination, lines: make(chan []byte, maxQueuedLines)}
	go writer.run()
	return writer
}

// run writes the lines. An error has nowhere to be reported to.
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

// Write queues one line, and never waits: if there is no room, the line is dropped and counted.
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

// flush waits until all lines are written, or for the timeout.
func (w *asyncWriter) flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for w.unwritten.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(flushInterval)
	}
}
