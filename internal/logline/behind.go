package logline

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Queue writes lines behind whoever logs them. Danger: the reader of our log stops reading, its pipe is full, and the next line holds up the
// owner loop, and with it every answer, for as long as that lasts.
type Queue struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	waiting atomic.Int64 // lines that are not written yet
}

// mostLines is how many lines wait: some seconds of the most that a crowd of ending connections leaves.
const mostLines = 256

// Behind starts a queue before w, for as long as the program runs.
func Behind(w io.Writer) *Queue {
	q := &Queue{to: w, lines: make(chan []byte, mostLines)}
	go func() {
		for line := range q.lines {
			if n := q.dropped.Swap(0); n > 0 {
				fmt.Fprintf(q.to, "time=%s level=WARN msg=lines-dropped more=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
			}
			_, _ = q.to.Write(line)
			q.waiting.Add(-1)
		}
	}()
	return q
}

// Write takes one line and never waits. What there is no room for is counted.
func (q *Queue) Write(line []byte) (int, error) {
	q.waiting.Add(1)
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.waiting.Add(-1)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all is written, or for so long. It belongs to the end of the program.
func (q *Queue) Flush(most time.Duration) {
	for end := time.Now().Add(most); q.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(100 * time.Microsecond)
	}
}

var program *Queue

// Serve has all of the program log to w by a queue, for as long as it runs.
func Serve(w io.Writer, format string) {
	if program == nil {
		program = Behind(w)
	}
	Start(program, format)
}

// End has the last lines written. One whose reader has stopped gets a moment only: the program may be killed a fiftieth of a second later.
func End() {
	if program == nil {
		return
	}
	most := time.Second
	if f, is := program.to.(*os.File); is {
		p := []unix.PollFd{{Fd: int32(f.Fd()), Events: unix.POLLOUT}}
		if n, err := unix.Poll(p, 0); n == 0 && err == nil {
			most = 10 * time.Millisecond
		}
	}
	program.Flush(most)
}
