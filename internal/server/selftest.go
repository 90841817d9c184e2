package server

import (
	"time"
)

// runSelfTest has the runtime do the work of a check. One that does not return in a second is bad.
func (in *Server) runSelfTest(done func(healthy bool)) {
	link := &in.runtime
	if link.selfTests == nil {
		link.selfTests = map[string]func(bool){}
	}
	correlationID := in.nextCorrelationID("test")
	timeout := in.ScheduleAt(in.Now()+time.Second, func() { link.selfTests[correlationID](false) })
	link.selfTests[correlationID] = func(healthy bool) {
		delete(link.selfTests, correlationID)
		timeout.Stop()
		done(healthy)
	}
	link.conn.RequestSelfTest(correlationID)
}
