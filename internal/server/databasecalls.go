package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/transport"
)

// databaseCalls is the calls to the database that all instances share. Each has a connection of its own. Danger: a reply may
// come twice, or noise behind it, and what comes late on a connection that is used again would be taken for the next
// call's reply; and a resting connection may be forgotten there, so that nobody can tell whether the next call ran.
type databaseCalls struct {
	upstreams Upstreams       // services that calls go to; nil: the configuration's one address
	open      int             // connections that stand or are being opened
	maxConns  int             // as many as the descriptors left beside the client stubs allow
	waiting   []*databaseCall // calls that wait for one
}

// databaseCall is one call of a run, until its outcome is told.
type databaseCall struct {
	request     *activeRequest
	startedAt   time.Duration
	deadline    time.Duration
	conn        *transport.DatabaseConn // nil while it waits for room
	sent        bool
	timer       *eventloop.Timer
	done        func(admission.Outcome, time.Duration)
	slot        UpstreamSlot // where it goes, where there are several
	refusedAddr string       // where it was refused before
	attempts    int
}

func (d *databaseCalls) start(server *Server, active *activeRequest, deadline time.Duration, done func(admission.Outcome, time.Duration)) {
	d.cancel(active.run.call) // a second call gives up the first
	call := &databaseCall{request: active, startedAt: server.Now(), deadline: deadline, done: done}
	active.run.call = call
	call.timer = server.ScheduleAt(deadline, func() { d.finish(server, call, call.interruptedOutcome(admission.TimedOut)) })
	if d.open >= d.maxConns || !d.acquireSlot(server, call) {
		d.waiting = append(d.waiting, call)
		return
	}
	d.dial(server, call)
}

// dial opens the connection of a call and sends it.
func (d *databaseCalls) dial(server *Server, call *databaseCall) {
	d.open++
	addr := server.config.DatabaseAddr
	if call.slot != nil {
		addr = call.slot.Addr()
	}
	var conn *transport.DatabaseConn
	conn = server.net.DialDatabase(addr, func(refused error) {
		switch {
		case refused == nil && call.request.run != nil && call.request.run.call == call:
			call.sent = true
			conn.Call(addr, call.request.id, call.deadline-server.Now(), call.request.run.callBody)
		case refused != nil:
			d.open--
			if call.request.run != nil && call.request.run.call == call && d.retry(server, call, addr) {
				return
			}
			call.releaseSlot(admission.Unreachable, false)
			d.finish(server, call, admission.Unreachable) // nothing was sent
			d.startWaiting(server)
		}
	})
	call.conn = conn
	conn.OnReply = func(reply transport.Reply) { d.handleReply(server, call, reply) }
	conn.OnClose = func(string) {
		d.open--
		call.releaseSlot(admission.ConnectionLost, call.sent)
		d.finish(server, call, call.interruptedOutcome(admission.ConnectionLost))
		d.startWaiting(server)
	}
}

// retry makes a call anew of which nothing was sent, as its address was refused: the database has moved, or there is another service.
func (d *databaseCalls) retry(server *Server, call *databaseCall, addr string) bool {
	if d.upstreams == nil {
		if addr == server.config.DatabaseAddr {
			return false
		}
		d.dial(server, call)
		return true
	}
	call.releaseSlot(admission.Unreachable, false)
	call.refusedAddr = addr
	const maxAttempts = 2 // two that are refused one after the other are a network that is gone
	switch {
	case call.attempts >= maxAttempts:
		return false
	case d.open >= d.maxConns || !d.acquireSlot(server, call):
		d.waiting = append(d.waiting, call) // until another has room, or its time is up
	default:
		d.dial(server, call)
	}
	return true
}

// addressChanged hears that the database's address is another now. Danger: calls whose dials the old one swallows wait there for their whole time.
func (d *databaseCalls) addressChanged(server *Server) {
	if d.upstreams != nil {
		return
	}
	for _, active := range server.requests {
		if run := active.run; run != nil && run.call != nil && run.call.conn != nil && !run.call.sent {
			run.call.conn.CancelDial() // it is refused so, and made again
		}
	}
}

// startWaiting gives waiting calls the room that there is.
func (d *databaseCalls) startWaiting(server *Server) {
	for len(d.waiting) > 0 && d.open < d.maxConns && d.acquireSlot(server, d.waiting[0]) {
		call := d.waiting[0]
		d.waiting = d.waiting[1:]
		d.dial(server, call)
	}
}

// handleReply tells what a reply proves, and no more.
func (d *databaseCalls) handleReply(server *Server, call *databaseCall, reply transport.Reply) {
	if call.request.run == nil || call.request.run.call != call {
		return
	}
	outcome := admission.Failed
	switch {
	case reply.Status == 200:
		outcome = admission.Succeeded
		active := call.request
		active.run.callReply = append(make([]byte, 0, len(reply.Body)), reply.Body...)
		active.run.callSequence = 0
		if server.runtime.synced {
			server.runtime.conn.SendCallReply(active.id, active.run.callReply)
		}
	case reply.NeverStarted:
		outcome = admission.Rejected
	case reply.Status == 504:
		outcome = admission.TimedOut
	}
	call.conn.SetCloseReason("answered")
	call.releaseSlot(outcome, false)
	d.finish(server, call, outcome)
}

// finish tells the outcome of a call, once, and ends its connection.
func (d *databaseCalls) finish(server *Server, call *databaseCall, outcome admission.Outcome) {
	if call.request.run == nil || call.request.run.call != call {
		return
	}
	d.cancel(call)
	call.request.run.call = nil
	server.decisionPending = true
	call.done(outcome, server.Now()-call.startedAt)
}

// interruptedOutcome is how a call comes out that was cut short. One that was never sent can't have run.
func (c *databaseCall) interruptedOutcome(outcome admission.Outcome) admission.Outcome {
	if c.sent {
		return outcome
	}
	return admission.Unreachable
}

// cancel gives a call up: one that is on its way ends with its connection, as nothing else would end it there.
func (d *databaseCalls) cancel(call *databaseCall) {
	if call == nil {
		return
	}
	call.timer.Stop()
	call.releaseSlot(admission.TimedOut, call.sent)
	if call.conn != nil {
		call.conn.Close("call-given-up")
	}
	for i, waiting := range d.waiting {
		if waiting == call {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			break
		}
	}
}
