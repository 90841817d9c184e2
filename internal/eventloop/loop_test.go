package eventloop

import (
	"fmt"
	"time"
)

// Timers fire in the order of their deadlines, and in the order of scheduling if their deadlines are equal. Stopped
// timers do not fire. afterBatch is called once per batch.
func Example_batch() {
	l := New(4096)
	printer := func(text string) func() { return func() { fmt.Print(text, " ") } }
	l.Post(printer("posted"), func() {
		l.ScheduleAt(l.now-2, printer("second"))
		l.ScheduleAt(l.now-2, printer("third"))
		l.ScheduleAt(l.now-1, printer("stopped")).Stop()
		l.ScheduleAt(l.now-3, printer("first"))
		l.ScheduleAt(l.now, l.Quit)
	})
	l.Run(func() { fmt.Println("after") })
	// Output:
	// posted first second third after
}

// PostBlocking blocks while too many calls are pending, and continues once the loop has taken them.
func Example_postBlocking() {
	l := New(4096)
	returned := make(chan bool, 1)
	for range 5000 {
		l.Post(func() {})
	}
	go func() {
		l.PostBlocking(l.Quit)
		returned <- true
	}()
	select {
	case <-returned:
		fmt.Println("returned")
	case <-time.After(20 * time.Millisecond):
		fmt.Println("blocks")
	}
	l.Run(func() {})
	fmt.Println(<-returned, len(l.pending))
	// Output:
	// blocks
	// true 0
}

// Stopped timers are removed from the queue.
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
