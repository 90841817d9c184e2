package server

import (
	"time"

	"lanewheel/internal/eventloop"
)

// selfTestTimeout is the time after which a self-test without a result counts as failed.
const selfTestTimeout = time.Second

// selfTests makes the runtime carry out self-tests for health checks, one at a time: a self-test is work, and checks
// may come faster than they are answered. Owned by the event loop.
type selfTests struct {
	server        *Server
	correlationID string // of the self-test that the runtime is carrying out; empty if there is none
	timeout       *eventloop.Timer
	waiters       []func(healthy bool) // checks that wait for its result
	next          []func(healthy bool) // checks that came after it had begun, and wait for the next one
}

// run calls done with the result of a self-test that begins after the call.
func (t *selfTests) run(done func(healthy bool)) {
	t.next = append(t.next, done)
	if t.correlationID == "" {
		t.begin()
	}
}

// begin makes the runtime carry out a self-test for the checks that wait for the next one.
func (t *selfTests) begin() {
	t.waiters, t.next = t.next, nil
	if !t.server.runtime.synced {
		t.answer(false)
		return
	}
	correlationID := t.server.runtime.nextCorrelationID(selfTestPrefix)
	t.correlationID = correlationID
	t.timeout = t.server.ScheduleAt(t.server.Now()+selfTestTimeout, t.expire)
	t.server.runtime.conn.RequestSelfTest(correlationID)
}

// expire handles the timeout of a self-test, or the end of the link on which it was requested. All checks fail, so that
// none waits for longer than a timeout. It does nothing if there is no self-test.
func (t *selfTests) expire() {
	t.waiters = append(t.waiters, t.next...)
	t.next = nil
	t.finish(t.correlationID, false)
}

// finish reports the result of a self-test and begins the next one if checks wait for it. It does nothing if the
// self-test has already finished.
func (t *selfTests) finish(correlationID string, healthy bool) {
	if t.correlationID == "" || correlationID != t.correlationID {
		return
	}
	t.correlationID = ""
	t.timeout.Stop()
	t.answer(healthy)
	if len(t.next) > 0 {
		t.begin()
	}
}

func (t *selfTests) answer(healthy bool) {
	waiters := t.waiters
	t.waiters = nil
	for _, done := range waiters {
		done(healthy)
	}
}
