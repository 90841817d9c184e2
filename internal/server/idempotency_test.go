package server

import (
	"fmt"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
)

// A keyed op's key: in hand it does not age, however short the window; once over it holds for tries that came within it, however late they are
// read. One that never ran leaves none. A read's key is over with its time.
func Example_keysAge() {
	instance := &Server{Loop: eventloop.New(9), config: Config{Settings: admission.Settings{"shared reads for": 100 * time.Millisecond}}}
	k := &instance.idempotency
	n := 0
	op := func(keyed bool) *activeRequest {
		n++
		active := &activeRequest{id: admission.RequestID(fmt.Sprint(n)), class: "pay", resource: "s", body: []byte("x")}
		active.identity = k.identify(active, frontend.Request{NewIDPerAttempt: true}, keyed)
		return active
	}
	printDuplicate := func(what string, keyed bool, came time.Duration) {
		fmt.Printf("%s, came %v: %q\n", what, came, k.duplicateOf(op(keyed), came))
	}
	first := op(true)
	k.store(instance, first, 200*time.Millisecond)
	first.started = true
	printDuplicate("keyed, in hand", true, 900*time.Millisecond)
	k.finish(instance, first, []byte("one"))
	printDuplicate("keyed, over", true, 199*time.Millisecond)
	printDuplicate("keyed, over", true, 200*time.Millisecond)
	k.forget(first.record)
	second := op(true)
	k.store(instance, second, time.Second)
	k.finish(instance, second, nil)
	printDuplicate("keyed, never ran", true, 0)
	third := op(true)
	third.started = true
	k.store(instance, third, time.Second)
	k.finish(instance, third, nil)
	printDuplicate("keyed, ran and failed", true, 0)
	read := op(false)
	k.store(instance, read, time.Second)
	k.finish(instance, read, []byte("one"))
	printDuplicate("read", false, 99*time.Millisecond)
	printDuplicate("read", false, 100*time.Millisecond)
	// Output:
	// keyed, in hand, came 900ms: "1"
	// keyed, over, came 199ms: "1"
	// keyed, over, came 200ms: ""
	// keyed, never ran, came 0s: ""
	// keyed, ran and failed, came 0s: "7"
	// read, came 99ms: "9"
	// read, came 100ms: ""
}

// The id of an op that is over is sent once more, with something else to say: the key of the first is neither prolonged nor dropped with it.
func Example_idOnceMore() {
	instance := &Server{Loop: eventloop.New(9), config: Config{Settings: admission.Settings{"shared reads for": 100 * time.Millisecond}}}
	k := &instance.idempotency
	op := func(body string, keyed bool) *activeRequest {
		active := &activeRequest{id: "1", class: "pay", resource: body, body: []byte(body)}
		active.identity = k.identify(active, frontend.Request{NewIDPerAttempt: true}, keyed)
		return active
	}
	for _, keyed := range []bool{true, false} {
		first := op("x", keyed)
		k.store(instance, first, 200*time.Millisecond)
		first.started = true
		k.finish(instance, first, []byte("one"))
		again := op("z", keyed)
		k.store(instance, again, time.Hour)
		k.forget(again.record) // it is turned away
		fmt.Printf("keyed %v: %q, later %q\n", keyed, k.duplicateOf(op("x", keyed), 99*time.Millisecond), k.duplicateOf(op("x", keyed), 201*time.Millisecond))
	}
	// Output:
	// keyed true: "1", later ""
	// keyed false: "1", later ""
}
