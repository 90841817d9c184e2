package server

import "time"

// selfTestTimeout is the time after which a self-test without a result counts as failed.
const selfTestTimeout = time.Second

// selfTests holds the self-tests that the runtime is carrying out for health checks. Owned by the event loop.
type selfTests struct {
	server  *Server
	pending map[string]func(healthy bool) // by correlation ID
}

// run makes the runtime carry out a self-test and calls done with the result.
func (t *selfTests) run(done func(healthy bool)) {
	if t.pending == nil {
		t.pending = map[string]func(bool){}
	}
	correlationID := t.server.runtime.nextCorrelationID(selfTestPrefix)
	timeout := t.server.ScheduleAt(t.server.Now()+selfTestTimeout, func() { t.finish(correlationID, false) })
	t.pending[correlationID] = func(healthy bool) {
		timeout.Stop()
		done(healthy)
	}
	t.server.runtime.conn.RequestSelfTest(correlationID)
}

// finish reports the result of a self-test. It does nothing if the self-test has already finished.
func (t *selfTests) finish(correlationID string, healthy bool) {
	if done := t.pending[correlationID]; done != nil {
		delete(t.pending, correlationID)
		done(healthy)
	}
}
