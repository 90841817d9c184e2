package server

import (
	"net/http"
	"slices"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/database"
	"lanewheel/internal/eventloop"
)

// databaseCalls makes the upstream calls of runs, to the database or to one of several services. Connections are not
// reused, for two reasons. A reply may arrive twice or be followed by garbage, and late bytes on a reused connection
// would be read as the reply to the next call. And if the peer has dropped an idle connection, there is no way to find
// out whether the next call was executed. Owned by the event loop.
type databaseCalls struct {
	server    *Server
	upstreams Upstreams       // nil if all calls go to the configured database
	openConns int             // connections that are open or being dialed
	maxConns  int             // limit of openConns, from the descriptor budget
	waiting   []*databaseCall // calls that wait for a connection or a slot, in FIFO order

	// checksRuns is set once the configured database has stated that no run waits for a call. It then executes only
	// calls that a run waits for.
	checksRuns bool
}

// databaseCall is one call of a run, until its outcome is reported. Its slot is released exactly once, before done is
// called.
type databaseCall struct {
	request   *activeRequest
	startedAt time.Duration
	deadline  time.Duration
	timer     *eventloop.Timer // fires at the deadline
	done      func(admission.Outcome, time.Duration)

	conn *database.Conn // nil while the call waits for a connection or a slot
	sent bool

	slot        UpstreamSlot // nil if calls go to the configured database, or while the call has no slot
	refusedAddr string       // address of the service that refused the previous attempt
	attempts    int
}

// inProgress reports whether the outcome of the call has not been reported yet.
func (c *databaseCall) inProgress() bool { return c.request.run != nil && c.request.run.call == c }

// interruptedOutcome returns the outcome of a call that was interrupted. It is Unreachable if the call was never sent,
// because then it cannot have been executed.
func (c *databaseCall) interruptedOutcome(outcome admission.Outcome) admission.Outcome {
	if c.sent {
		return outcome
	}
	return admission.Unreachable
}

// start makes the call that a run waits for. It cancels an earlier call of the same run.
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

// dial opens a connection for a call and sends the call on it.
func (d *databaseCalls) dial(call *databaseCall) {
	d.openConns++
	addr := d.server.config.DatabaseAddr
	if call.slot != nil {
		addr = call.slot.Addr()
	}
	var conn *database.Conn
	conn = database.Dial(d.server.net, addr, func(dialErr error) {
		if dialErr != nil {
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

// handleRefused handles a refused connection: it retries the call or ends it as Unreachable, as nothing was sent.
func (d *databaseCalls) handleRefused(call *databaseCall, addr string) {
	d.openConns--
	if call.inProgress() && d.retry(call, addr) {
		return
	}
	call.releaseSlot(admission.Unreachable, false)
	d.finish(call, admission.Unreachable)
	d.startWaitingCalls()
}

// retry repeats a call that was refused at addr, if the database has moved or there are several services. It reports
// whether the call is repeated.
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

// onAddressChanged handles a change of the database address. Calls that are still dialing the old address could wait
// there until their deadlines, so their dials are canceled. A canceled dial counts as refused, and the call is retried.
func (d *databaseCalls) onAddressChanged() {
	d.checksRuns = false
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

// startWaitingCalls dials the waiting calls, in order, until there is no connection or slot left.
func (d *databaseCalls) startWaitingCalls() {
	for len(d.waiting) > 0 && d.openConns < d.maxConns && d.acquireSlot(d.waiting[0]) {
		call := d.waiting[0]
		d.waiting = d.waiting[1:]
		d.dial(call)
	}
}

// replyOutcome returns the outcome that a reply proves. A call counts as not executed only if the reply states so.
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

// handleReply passes the reply on to the run if the call succeeded, and finishes the call.
func (d *databaseCalls) handleReply(call *databaseCall, reply database.Reply) {
	if !call.inProgress() {
		return
	}
	outcome := replyOutcome(&reply)
	notWaited := reply.Status == http.StatusConflict && reply.NeverStarted
	if notWaited && d.upstreams == nil {
		d.checksRuns = true
	}
	point := &call.request.run.callPoint
	switch {
	case point.repeated && notWaited:
		outcome = admission.Succeeded // the run has continued, so it has got the earlier reply
		*point = callPoint{}
	case point.repeated && outcome == admission.Succeeded && !d.checksRuns:
		d.server.skipUncertainCall(call.request) // the run may have continued
	case outcome == admission.Succeeded:
		point.reply = append(make([]byte, 0, len(reply.Body)), reply.Body...)
		if d.server.runtime.synced {
			d.server.sendReply(call.request)
		}
	}
	call.conn.SetCloseReason(closeCompleted)
	call.releaseSlot(outcome, false)
	d.finish(call, outcome)
}

// finish reports the outcome of a call and closes its connection. It does nothing if the call has already finished.
func (d *databaseCalls) finish(call *databaseCall, outcome admission.Outcome) {
	if !call.inProgress() {
		return
	}
	d.cancel(call)
	call.request.run.call = nil
	d.server.decisionPending = true
	call.done(outcome, d.server.Now()-call.startedAt)
}

// cancel ends a call without reporting an outcome. It does nothing if call is nil. Closing the connection is the only
// way to cancel the call at the database or service.
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
