package server

import (
	"net/http"
	"slices"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/database"
	"lanewheel/internal/eventloop"
)

// databaseCalls is the upstream calls of runs, to the database or to one of several services. Each call has a
// connection of its own: a reply may come twice or with noise behind it, and what comes late on a connection that
// is used again would be taken for the next call's reply; and if the other side has forgotten an idle connection,
// nobody can tell whether the next call was executed. Owned by the event loop.
type databaseCalls struct {
	server    *Server
	upstreams Upstreams       // nil: all calls go to the configured database
	openConns int             // connections that stand or are being dialed
	maxConns  int             // what the descriptors that clients leave allow
	waiting   []*databaseCall // for a connection or a slot, in this order
}

// databaseCall is one call of a run, until its outcome is told. Its slot is released once, and before done is called.
type databaseCall struct {
	request   *activeRequest
	startedAt time.Duration
	deadline  time.Duration
	timer     *eventloop.Timer // at the deadline
	done      func(admission.Outcome, time.Duration)

	conn *database.Conn // nil while it waits
	sent bool

	slot        UpstreamSlot // nil where there is one database, and while it has none
	refusedAddr string       // of the service that refused it before
	attempts    int
}

// inProgress tells whether a call's outcome has not been told yet.
func (c *databaseCall) inProgress() bool { return c.request.run != nil && c.request.run.call == c }

// interruptedOutcome is the outcome of a call that was cut short. One that was never sent can't have been executed.
func (c *databaseCall) interruptedOutcome(outcome admission.Outcome) admission.Outcome {
	if c.sent {
		return outcome
	}
	return admission.Unreachable
}

// start makes the call that a run waits at. It cancels an earlier one of the same run.
func (d *databaseCalls) start(
	active *activeRequest, deadline time.Duration, done func(admission.Outcome, time.Duration),
) {
	d.cancel(active.run.call)
	call := &databaseCall{request: active, startedAt: d.server.Now(), deadline: deadline, done: done}
	active.run.call = call
	d.scheduleTimeout(call)
	if d.openConns >= d.maxConns || !d.acquireSlot(call) {
		d.waiting = append(d.waiting, call)
		return
	}
	d.dial(call)
}

func (d *databaseCalls) scheduleTimeout(call *databaseCall) {
	call.timer = d.server.ScheduleAt(call.deadline, func() {
		d.finish(call, call.interruptedOutcome(admission.TimedOut))
	})
}

// dial opens the connection of a call and sends it.
func (d *databaseCalls) dial(call *databaseCall) {
	d.openConns++
	addr := d.server.config.DatabaseAddr
	if call.slot != nil {
		addr = call.slot.Addr()
	}
	var conn *database.Conn
	conn = database.Dial(d.server.net, addr, func(refused error) {
		if refused != nil {
			d.handleRefused(call, addr)
			return
		}
		if call.inProgress() {
			call.sent = true
			conn.Call(addr, call.request.id, call.deadline-d.server.Now(), call.request.run.callPoint.body)
		}
	})
	call.conn = conn
	conn.OnReply = func(reply database.Reply) { d.handleReply(call, reply) }
	conn.OnClose = func(string) {
		d.openConns--
		call.releaseSlot(admission.ConnectionLost, call.sent)
		d.finish(call, call.interruptedOutcome(admission.ConnectionLost))
		d.startWaitingCalls()
	}
}

// handleRefused hears that a call's connection was refused, so that nothing was sent.
func (d *databaseCalls) handleRefused(call *databaseCall, addr string) {
	d.openConns--
	if call.inProgress() && d.retry(call, addr) {
		return
	}
	call.releaseSlot(admission.Unreachable, false)
	d.finish(call, admission.Unreachable)
	d.startWaitingCalls()
}

// retry makes a call again that an address refused, if the database has moved or there is another service. It tells
// whether it does.
func (d *databaseCalls) retry(call *databaseCall, addr string) bool {
	if d.upstreams != nil {
		return d.retryElsewhere(call, addr)
	}
	if addr == d.server.config.DatabaseAddr {
		return false
	}
	d.dial(call)
	return true
}

// onAddressChanged hears that the database has moved. Calls that are still being dialed at the old address would wait
// there for all of their time: their dials end as refused, and they are made again.
func (d *databaseCalls) onAddressChanged() {
	if d.upstreams != nil {
		return
	}
	for _, active := range d.server.requests.byID {
		if active.run == nil {
			continue
		}
		if call := active.run.call; call != nil && call.conn != nil && !call.sent {
			call.conn.CancelDial()
		}
	}
}

// startWaitingCalls makes calls that wait, as far as there are connections and slots.
func (d *databaseCalls) startWaitingCalls() {
	for len(d.waiting) > 0 && d.openConns < d.maxConns && d.acquireSlot(d.waiting[0]) {
		call := d.waiting[0]
		d.waiting = d.waiting[1:]
		d.dial(call)
	}
}

// replyOutcome is what a reply proves, and no more.
func replyOutcome(reply *database.Reply) admission.Outcome {
	switch {
	case reply.Status == http.StatusOK:
		return admission.Succeeded
	case reply.NeverStarted:
		return admission.Rejected
	case reply.Status == http.StatusGatewayTimeout:
		return admission.TimedOut
	}
	return admission.Failed
}

// handleReply gives the reply to the run if the call succeeded, and tells its outcome.
func (d *databaseCalls) handleReply(call *databaseCall, reply database.Reply) {
	if !call.inProgress() {
		return
	}
	outcome := replyOutcome(&reply)
	if outcome == admission.Succeeded {
		active := call.request
		point := &active.run.callPoint
		point.reply = append(make([]byte, 0, len(reply.Body)), reply.Body...)
		point.sequence = 0
		if d.server.runtime.synced {
			d.server.runtime.conn.SendCallReply(active.id, point.reply)
		}
	}
	call.conn.SetCloseReason(closeCompleted)
	call.releaseSlot(outcome, false)
	d.finish(call, outcome)
}

// finish tells the outcome of a call, once, and ends its connection.
func (d *databaseCalls) finish(call *databaseCall, outcome admission.Outcome) {
	if !call.inProgress() {
		return
	}
	d.cancel(call)
	call.request.run.call = nil
	d.server.decisionPending = true
	call.done(outcome, d.server.Now()-call.startedAt)
}

// cancel ends a call without an outcome; nil is none. Ending its connection is all that ends it at the other side.
func (d *databaseCalls) cancel(call *databaseCall) {
	if call == nil {
		return
	}
	call.timer.Stop()
	call.releaseSlot(admission.TimedOut, call.sent)
	if call.conn != nil {
		call.conn.Close(closeCallCanceled)
	}
	if i := slices.Index(d.waiting, call); i >= 0 {
		d.waiting = slices.Delete(d.waiting, i, i+1)
	}
}
