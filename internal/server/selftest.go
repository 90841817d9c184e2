package server

import "time"

// selfTestTimeout is when a self-test that has not returned counts as failed.
const selfTestTimeout = time.Second

// selfTests are the self-tests that the runtime is carrying out for health checks. Owned by the event loop.
type selfTests struct {
	server  *Server
	pending map[string]func(healthy bool) // by correlation ID
}

// run has the runtime carry out a self-test.
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

// finish ends a self-test; it does nothing to one that has ended.
func (t *selfTests) finish(correlationID string, healthy bool) {
	if done := t.pending[correlationID]; done != nil {
		delete(t.pending, correlationID)
		done(healthy)
	}
}
