package loop

import (
	"fmt"
	"time"
)

// Timers fire by their time, those of one time in the order asked for, and dropped ones not at all; after is
// called once for all that a batch holds.
func Example_loop() {
	l := New(4096)
	say := func(text string) func() { return func() { fmt.Print(text, " ") } }
	l.Hand(say("handed"), func() {
		l.At(l.now-2, say("second"))
		l.At(l.now-2, say("third"))
		l.At(l.now-1, say("dropped")).Drop()
		l.At(l.now-3, say("first"))
		l.At(l.now, func() { l.over = true })
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
		l.Hand(func() {})
	}
	go func() {
		l.HandRead(func() { l.over = true })
		passed <- true
	}()
	select {
	case <-passed:
		fmt.Println("went on")
	case <-time.After(20 * time.Millisecond):
		fmt.Println("waits")
	}
	l.Run(func() {})
	fmt.Println(<-passed, len(l.handed))
	// Output:
	// waits
	// true 0
}

// Dropped timers leave nothing behind.
func Example_dropped() {
	l := New(9)
	var all []*Timer
	for i := range 9 {
		all = append(all, l.At(time.Duration(i%4), func() {}))
	}
	for _, t := range all[2:] {
		t.Drop()
		t.Drop()
	}
	fmt.Println(len(l.timers.heap))
	fmt.Println(l.timers.fire(1), l.timers.fire(1), l.timers.fire(1))
	// Output:
	// 2
	// true true false
}
