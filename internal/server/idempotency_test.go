package server

import (
	"fmt"
	"time"

	"lanewheel/admission"
)

// newTestCache returns a cache that keeps the results of reads for 100 ms. Its clock does not advance.
func newTestCache() *idempotencyCache {
	settings := admission.Settings{CoalescedReadWindow: 100 * time.Millisecond}
	return &newServer(Config{Settings: settings}).idempotency
}

// The record of a keyed request does not expire while the request is in flight, however short the window. Once the
// request has finished, the record applies to attempts that were sent within the window, even if the server reads them
// later. A keyed request that was run and failed keeps its record; a request whose run was never started leaves none.
// The record of a read expires at the end of its window.
func Example_recordsExpire() {
	cache := newTestCache()
	count := 0
	newRequest := func(byKey bool) *activeRequest {
		count++
		active := &activeRequest{id: admission.RequestID(fmt.Sprint(count)), class: "pay", resource: "s", body: []byte("x")}
		active.identity = cache.identify(active, true, byKey)
		return active
	}
	printDuplicate := func(description string, byKey bool, sentAt time.Duration) {
		fmt.Printf("%s, sent at %v: %q\n", description, sentAt, cache.duplicateOf(newRequest(byKey), sentAt))
	}
	first := newRequest(true)
	cache.store(first, 200*time.Millisecond)
	first.started = true
	printDuplicate("by key, in flight", true, 900*time.Millisecond)
	cache.finish(first, []byte("one"))
	printDuplicate("by key, finished", true, 199*time.Millisecond)
	printDuplicate("by key, finished", true, 200*time.Millisecond)
	cache.remove(first.record)
	second := newRequest(true)
	cache.store(second, time.Second)
	cache.finish(second, nil)
	printDuplicate("by key, never started", true, 0)
	third := newRequest(true)
	third.started = true
	cache.store(third, time.Second)
	cache.finish(third, nil)
	printDuplicate("by key, failed", true, 0)
	read := newRequest(false)
	cache.store(read, time.Second)
	cache.finish(read, []byte("one"))
	printDuplicate("read", false, 99*time.Millisecond)
	printDuplicate("read", false, 100*time.Millisecond)
	// Output:
	// by key, in flight, sent at 900ms: "1"
	// by key, finished, sent at 199ms: "1"
	// by key, finished, sent at 200ms: ""
	// by key, never started, sent at 0s: ""
	// by key, failed, sent at 0s: "7"
	// read, sent at 99ms: "9"
	// read, sent at 100ms: ""
}

// The ID of a finished request is reused with another body. This neither extends nor drops the record of the first
// request.
func Example_requestIDReused() {
	cache := newTestCache()
	newRequest := func(body string, byKey bool) *activeRequest {
		active := &activeRequest{id: "1", class: "pay", resource: body, body: []byte(body)}
		active.identity = cache.identify(active, true, byKey)
		return active
	}
	for _, byKey := range []bool{true, false} {
		first := newRequest("x", byKey)
		cache.store(first, 200*time.Millisecond)
		first.started = true
		cache.finish(first, []byte("one"))
		second := newRequest("z", byKey)
		cache.store(second, time.Hour)
		cache.remove(second.record) // as if the second request were rejected
		fmt.Printf("by key %v: %q, later %q\n", byKey,
			cache.duplicateOf(newRequest("x", byKey), 99*time.Millisecond),
			cache.duplicateOf(newRequest("x", byKey), 201*time.Millisecond))
	}
	// Output:
	// by key true: "1", later ""
	// by key false: "1", later ""
}
