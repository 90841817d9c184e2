package eventloop

import (
	"fmt"
	"time"
)

// Timers fire by their deadlines, those with the same one in the order in which they were scheduled, and stopped
// ones not at all; afterBatch is called once for all that a batch holds.
func Example_batch() {
	l := New(4096)
	printing := func(text string) func() { return func() { fmt.Print(text, " ") } }
	l.Post(printing("posted"), func() {
		l.ScheduleAt(l.now-2, printing("second"))
		l.ScheduleAt(l.now-2, printing("third"))
		l.ScheduleAt(l.now-1, printing("stopped")).Stop()
		l.ScheduleAt(l.now-3, printing("first"))
		l.ScheduleAt(l.now, l.Quit)
	})
	l.Run(func() { fmt.Println("after") })
	// Output:
	// posted first second third after
}

// PostBlocking waits while the loop has too much to do, and goes on as soon as that was taken.
func Example_postBlocking() {
	l := New(4096)
	passed := make(chan bool, 1)
	for range 5000 {
		l.Post(func() {})
	}
	go func() {
		l.PostBlocking(l.Quit)
		passed <- true
	}()
	select {
	case <-passed:
		fmt.Println("went on")
	case <-time.After(20 * time.Millisecond):
		fmt.Println("waits")
	}
	l.Run(func() {})
	fmt.Println(<-passed, len(l.pending))
	// Output:
	// waits
	// true 0
}

// Stopped timers leave nothing behind.
func Example_stoppedTimers() {
	l := New(9)
	var timers []*Timer
	for i := range 9 {
		timers = append(timers, l.ScheduleAt(time.Duration(i%4), func() {}))
	}
	for _, timer := range timers[2:] {
		timer.Stop()
		timer.Stop()
	}
	fmt.Println(len(l.timers.entries))
	fmt.Println(l.timers.fireNext(1), l.timers.fireNext(1), l.timers.fireNext(1))
	// Output:
	// 2
	// true true false
}
