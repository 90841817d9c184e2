package logging

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// A reader that stops holds up nobody who logs. What there is no room for is counted, and said once it reads again.
func Example_behind() {
	r, w := io.Pipe()
	q := newAsyncWriter(w)
	for i := range maxQueuedLines + 10 { // one line is being written, the rest wait, some are dropped
		if i == 1 {
			for len(q.lines) > 0 { // the first has been taken by then
				time.Sleep(time.Millisecond)
			}
		}
		fmt.Fprintln(q, "line", i)
	}
	q.Flush(time.Millisecond) // in vain
	fmt.Println("wait:", q.unwritten.Load())
	go func() {
		q.Flush(time.Minute)
		w.Close()
	}()
	all, _ := io.ReadAll(r)
	lines := strings.Split(strings.TrimSpace(string(all)), "\n")
	fmt.Println(len(lines), lines[0], "|", lines[1][strings.Index(lines[1], "msg="):], "|", lines[len(lines)-1])
	// Output:
	// wait: 257
	// 258 line 0 | msg=lines-dropped more=9 | line 256
}
