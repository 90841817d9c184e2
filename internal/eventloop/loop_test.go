package eventloop

import (
	"fmt"
	"time"
)

// Timers fire by their time, those of one time in the order asked for, and dropped ones not at all; after is
// called once for all that a batch holds.
func Example_loop() {
	l := New(4096)
	say := func(text string) func() { return func() { fmt.Print(text, " ") } }
	l.Post(say("handed"), func() {
		l.ScheduleAt(l.now-2, say("second"))
		l.ScheduleAt(l.now-2, say("third"))
		l.ScheduleAt(l.now-1, say("dropped")).Stop()
		l.ScheduleAt(l.now-3, say("first"))
		l.ScheduleAt(l.now, func() { l.quitting = true })
	})
	l.Run(func() { fmt.Println("after") })
	// Output:
	// handed first second third after
}

// The poller waits while the owner has too much to do, and goes on as soon as that was taken.
func Example_heldBack() {
	l := New(4096)
	passed := make(chan bool, 1)
	for range 5000 {
		l.Post(func() {})
	}
	go func() {
		l.PostBlocking(func() { l.quitting = true })
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

// Dropped timers leave nothing behind.
func Example_dropped() {
	l := New(9)
	var all []*Timer
	for i := range 9 {
		all = append(all, l.ScheduleAt(time.Duration(i%4), func() {}))
	}
	for _, t := range all[2:] {
		t.Stop()
		t.Stop()
	}
	fmt.Println(len(l.timers.entries))
	fmt.Println(l.timers.fireNext(1), l.timers.fireNext(1), l.timers.fireNext(1))
	// Output:
	// 2
	// true true false
}
