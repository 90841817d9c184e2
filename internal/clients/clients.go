// Package clients is the front of client stubs on connections: it takes their ops to a core and their answers back, and ends the connections of
// those that break the protocol, stay silent or are not used. It belongs to the core's loop, and asks nothing of an op.
package clients

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/certs"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// Server is what this front needs beside what any front does.
type Server interface {
	frontend.Server
	// Owes gives who is owed the answer of an op in hand, nil if none is.
	ResponderOf(id string) frontend.Responder
	// Check has then called with whether all is well; deep asks whether work gets done.
	CheckHealth(deep bool, then func(good bool))
	// With is what rides on every answer.
	ResponseMetadata() frontend.ResponseMetadata
}

// Authenticator is who knows callers; nil where everybody may do everything.
type Authenticator interface {
	RevocationReason(*authn.Credential) authz.Denial
	NeedsRecheck(*authn.Credential) bool
	Sweep()
}

// Frontend is all connections of client stubs.
type Frontend struct {
	server        Server
	loop          *eventloop.Loop
	net           *transport.Net
	authenticator Authenticator
	connections   map[*transport.ServerConn]*connection
	idleTimeout   time.Duration // how long an unused connection may stay, as last said
	draining      bool          // it asks all connections to go
	lastSweep     time.Duration // when the connections were last looked through
}

// New makes the front of a core whose loop and connections it shares. A nil door lets all in.
func New(server Server, l *eventloop.Loop, net *transport.Net, authenticator Authenticator, idleTimeout time.Duration) *Frontend {
	return &Frontend{server: server, loop: l, net: net, authenticator: authenticator, connections: map[*transport.ServerConn]*connection{}, idleTimeout: idleTimeout}
}

// SetIdleTimeout says how long an unused connection may stay.
func (f *Frontend) SetIdleTimeout(timeout time.Duration) { f.idleTimeout = timeout }

// count is how many connections there are.
func (f *Frontend) count() int { return len(f.connections) }

// DrainSchedule is how long before the kill the last steps of a drain come.
type DrainSchedule struct {
	GoAway           time.Duration // no connection comes in any more, and all stubs are asked to go
	LastAnswers      time.Duration // what is still open is answered
	FrontendsDrained time.Duration // what else speaks to others has closed
	forceClose       time.Duration // what still stands is ended by us
	exit             time.Duration // the program ends
}

// DrainScheduleFor works them out from the time between notice and kill. They are the times that a machine takes, whoever's it is: an op that
// crosses the asking to go comes within 50 ms, and a process may stand still for some hundredths of a second. Danger: a kill that comes
// so soon that they are longer than the whole drain. Each is a part of it at the most, in the same order.
func DrainScheduleFor(killAfter time.Duration) DrainSchedule {
	const ms = time.Millisecond
	return DrainSchedule{GoAway: min(300*ms, killAfter/4), LastAnswers: min(150*ms, killAfter/8), FrontendsDrained: min(80*ms, killAfter/15), forceClose: min(60*ms, killAfter/20), exit: min(20*ms, killAfter/60)}
}

// Drain has no connection come in any more, asks all stubs to go, ends those that stay, and calls over when all is gone or the program has to
// be, with how many had to be ended. It is called Part before killAt; others tells whether all else is done.
func (f *Frontend) Drain(schedule DrainSchedule, killAt time.Duration, othersDrained func() bool, done func(connections int)) {
	f.net.RefuseNew()
	f.GoAway()
	// Danger: what had connected before and is not accepted yet is reset with the listening socket, and the ops written there are lost. A
	// few turns of the acceptor do where it is idle; else until all are in.
	closeAt, latestCloseAt := f.loop.Now()+min(10*time.Millisecond, schedule.GoAway/4), killAt-(schedule.GoAway+schedule.forceClose)/2
	var closeListeners, awaitDrained func()
	closeListeners = func() {
		if f.net.HasBacklog() && f.loop.Now() < latestCloseAt {
			f.loop.ScheduleAt(f.loop.Now()+time.Millisecond, closeListeners)
			return
		}
		f.net.CloseListeners()
		awaitDrained()
	}
	forceClosed, allAccepted := 0, false
	awaitDrained = func() {
		now := f.loop.Now()
		if now >= killAt-schedule.exit || allAccepted && f.count() == 0 && othersDrained() {
			done(forceClosed)
			return
		}
		// Danger: a connection that was accepted and has not come to the loop yet, with an op on it. It comes before what is handed in now.
		if !allAccepted && f.net.AllAccepted() {
			allAccepted = true
			f.loop.Post(awaitDrained)
			return
		}
		nextCheck := now + 5*time.Millisecond
		if !allAccepted {
			nextCheck = now + time.Millisecond
		}
		if now < killAt-schedule.forceClose {
			nextCheck = min(nextCheck, killAt-schedule.forceClose)
		} else {
			if forceClosed == 0 {
				forceClosed = f.count()
				f.closeAll()
			}
			nextCheck = min(nextCheck, killAt-schedule.exit)
		}
		f.loop.ScheduleAt(nextCheck, awaitDrained)
	}
	f.loop.ScheduleAt(closeAt, closeListeners)
}

// GoAway asks all stubs to send nothing new here, also those that are accepted from now on.
func (f *Frontend) GoAway() {
	f.draining = true
	for _, c := range f.connections {
		c.goAway()
	}
}

// closeAll ends all connections.
func (f *Frontend) closeAll() {
	for _, c := range f.connections {
		if c.closeReason == "" {
			c.close("stopped")
		}
	}
}

// checkHealth answers a health check.
func (c *connection) checkHealth(messageID uint32, deep bool) {
	c.lastUsed = c.frontend.loop.Now()
	c.pendingChecks++
	c.frontend.server.CheckHealth(deep, func(healthy bool) {
		c.pendingChecks--
		c.conn.AnswerHealthCheck(messageID, healthy, c.frontend.server.ResponseMetadata())
	})
}

// connection is a client stub's connection with the ops that are open on it.
type connection struct {
	frontend      *Frontend
	conn          *transport.ServerConn
	pending       map[uint32]*responder
	lastUsed      time.Duration // when something last came or went on it
	goAwayAt      time.Duration // when it was asked to go away, 0 if it was not
	pendingChecks int           // health checks that wait for their verdict
	closeReason   string        // it was closed, for this reason
	received      bool          // a whole message has come on it
	invalidInRow  int           // asks in a row that could never be served
	credential    authn.Credential
	barredReason  string // why nothing more is taken from it; it ends when its open ops are answered
}

// Accept makes a new connection one of a client stub. It runs beside the owner loop.
func (in *Frontend) Accept(accepted *transport.Conn) {
	conn := accepted.ServerConn()
	c := &connection{frontend: in, conn: conn, pending: map[uint32]*responder{}}
	conn.OnRequest = func(messageID uint32, request transport.Request) {
		c.received = true
		c.submit(messageID, request)
	}
	conn.OnCancel = func(messageID uint32) {
		c.received = true
		if pending := c.pending[messageID]; pending != nil {
			in.server.Cancel(pending.handle)
		}
	}
	conn.OnHealthCheck = func(messageID uint32, deep bool) {
		if c.received = true; c.closeReason == "" {
			c.checkHealth(messageID, deep)
		}
	}
	conn.OnAuthenticated = c.authenticated
	conn.OnProtocolError = c.failAll
	conn.OnClose = func(string) {
		delete(in.connections, conn)
		for _, messageID := range slices.Sorted(maps.Keys(c.pending)) {
			in.server.Cancel(c.pending[messageID].handle)
		}
	}
	in.loop.Post(func() {
		c.lastUsed = in.loop.Now()
		in.connections[conn] = c
		if in.draining {
			c.goAway()
		}
	})
}

// failAll ends the connection of a client that broke the protocol, and fails what is open on it, at once.
// Danger: an op of such a client that is acked, or one that leaves the client waiting for the others' ends.
func (c *connection) failAll(code string) {
	if c.closeReason != "" {
		return
	}
	for _, messageID := range slices.Sorted(maps.Keys(c.pending)) {
		c.conn.Fail(messageID, c.frontend.server.ResponseMetadata())
		c.frontend.server.Cancel(c.pending[messageID].handle)
	}
	c.close(code)
}

// close ends a connection on which nothing is open.
func (c *connection) close(code string) {
	c.closeReason, c.lastUsed = code, c.frontend.loop.Now()
	c.conn.Close(code)
}

// maxInvalidInRow is how many asks in a row that could never be served end a connection. Danger: a client that sends the same again
// at once, for ever, takes the loop's time from the others; it has to come by a new connection.
const maxInvalidInRow = 8

// submit takes an op off the connection.
func (c *connection) submit(messageID uint32, request transport.Request) {
	switch {
	case c.closeReason != "":
		return
	case c.pending[messageID] != nil:
		c.failAll("id-twice")
		return
	case len(c.pending) >= 32:
		c.failAll("too-many-open")
		return
	}
	if pending, known := c.frontend.server.ResponderOf(request.ID).(*responder); known && pending.conn == c {
		c.failAll("op-twice")
		return
	}
	pending := &responder{conn: c, messageID: messageID}
	c.pending[messageID], c.lastUsed = pending, c.frontend.loop.Now()
	pending.handle = c.frontend.server.Submit(request, &c.credential, pending)
}

// responder is an op that a stub's connection is owed the answer of: a front.Owed.
type responder struct {
	conn      *connection
	messageID uint32
	handle    frontend.Handle
}

func (a *responder) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	a.conn.invalidInRow = 0
	a.conn.conn.Succeed(a.messageID, result, metadata)
}
func (a *responder) Reject(metadata frontend.ResponseMetadata) {
	a.conn.invalidInRow = 0
	a.conn.conn.Reject(a.messageID, metadata)
}
func (a *responder) Fail(metadata frontend.ResponseMetadata) {
	a.conn.invalidInRow = 0
	a.conn.conn.Fail(a.messageID, metadata)
}

func (a *responder) Done() {
	if a.conn.pending[a.messageID] == a {
		delete(a.conn.pending, a.messageID)
	}
	a.conn.lastUsed = a.conn.frontend.loop.Now()
	a.conn.closeIfBarred()
}

// RejectPermanently answers what could never be served. What the runtime does not know ends the connection, as do several such asks in a
// row; a certificate that no longer counts bars it.
func (a *responder) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	conn := a.conn
	invalid := true
	if metadata.Reason != "" {
		conn.conn.Deny(a.messageID, metadata)
		if conn.frontend.authenticator != nil {
			if revoked := conn.frontend.authenticator.RevocationReason(&conn.credential); revoked != "" {
				conn.bar(string(revoked))
				return
			}
		}
		invalid = authn.IsForgery(authz.Denial(metadata.Reason))
	} else {
		conn.conn.Fail(a.messageID, metadata)
	}
	if invalid {
		conn.invalidInRow++
	}
	if code == frontend.UnknownRequest || conn.invalidInRow >= maxInvalidInRow {
		delete(conn.pending, a.messageID) // answered; the others fail
		conn.failAll(string(code))
	}
}

// goAway asks a stub to send nothing new here.
func (c *connection) goAway() {
	if c.goAwayAt == 0 {
		c.goAwayAt = max(c.frontend.loop.Now(), 1)
		c.conn.GoAway()
	}
}

// Sweep, again and again, asks those to go away that have been unused for as long as the module allows, and ends those on
// which nothing whole comes. Danger: connections by the hundred on which nothing is said, or half an op, fill the table.
func (in *Frontend) Sweep() {
	// How long a stub has to close after goaway; an op that crosses it comes within 50 ms.
	const goAwayGrace = 250 * time.Millisecond
	// A message is 3 KiB at most and a stub opens a connection when it has one to send: many round trips of a poor
	// link, and half of the 3 s in which whoever connects should hear something.
	const messageTimeout = 1500 * time.Millisecond
	// A handshake is two round trips and some certificates; on a poor link each may come a second late.
	const handshakeTimeout = 3 * time.Second
	const sweepInterval = 100 * time.Millisecond
	// Danger: a machine that stood still makes what came meanwhile look as if it had never come.
	wasSuspended := in.loop.Now()-in.lastSweep > 5*sweepInterval
	in.lastSweep = in.loop.Now()
	if in.authenticator != nil {
		in.recheckCredentials()
	}
	for _, c := range in.connections {
		switch {
		case c.closeReason != "":
			if in.loop.Now()-c.lastUsed > time.Second { // it does not take the last answers either
				c.conn.Abort()
			}
		case c.conn.PartialFor(in.loop.WallTime()) > messageTimeout && !wasSuspended:
			c.failAll("unfinished")
		case c.conn.Handshaking():
			if in.loop.Now()-c.lastUsed > handshakeTimeout && !wasSuspended {
				c.close("handshake-slow")
			}
		// Danger: a close in the middle of an op's message, whose sender has to begin again elsewhere.
		case len(c.pending) > 0 || c.pendingChecks > 0 || c.conn.HasPartial():
		case !c.received && in.loop.Now()-c.lastUsed > messageTimeout && !wasSuspended:
			c.close("silent")
		case c.goAwayAt > 0 && in.loop.Now()-max(c.goAwayAt, c.lastUsed) > goAwayGrace:
			c.close("unused")
		case c.goAwayAt == 0 && in.idleTimeout > 0 && in.loop.Now()-c.lastUsed > in.idleTimeout:
			c.goAway()
		}
	}
	in.loop.ScheduleAt(in.loop.Now()+sweepInterval, in.Sweep)
}

// EvictIdle ends the connection that has been unused for longest, those on which nothing was ever said first. Danger:
// a table full of them, and stubs with ops that wait outside.
func (in *Frontend) EvictIdle() {
	// Twice what an op may take to come that was sent before its stub saw the end; ten times that where ops have come.
	const crossingGrace, reuseGrace = 100 * time.Millisecond, time.Second
	var candidate, closing *connection
	handshakes, maxHandshakes := in.net.Handshakes()
	onlyHandshaking := handshakes >= maxHandshakes // there is room for connections, but for no more handshakes
	for _, c := range in.connections {
		idleFor := in.loop.Now() - c.lastUsed
		if c.closeReason != "" && (closing == nil || c.lastUsed < closing.lastUsed) {
			closing = c
		}
		if c.closeReason != "" || len(c.pending) > 0 || c.pendingChecks > 0 || idleFor < crossingGrace || c.received && idleFor < reuseGrace ||
			onlyHandshaking && !c.conn.Handshaking() {
			continue
		}
		if candidate == nil || candidate.received && !c.received || candidate.received == c.received && c.lastUsed < candidate.lastUsed {
			candidate = c
		}
	}
	switch {
	case closing != nil && in.loop.Now()-closing.lastUsed > crossingGrace: // has had time to read its last answers, and gives its room at once
		closing.conn.Abort()
	case candidate != nil:
		candidate.close("crowded")
	}
}

// authenticated hears that a handshake is over.
func (c *connection) authenticated(proof any) {
	c.lastUsed = c.frontend.loop.Now()
	c.credential.Proof, _ = proof.(*certs.VerifiedChain)
	if c.goAwayAt > 0 { // what it was told before could not be sent
		c.conn.GoAway()
	}
}

// bar takes nothing more from a connection whose certificate was taken back. What was read gets its answer; the connection
// ends with the last one.
func (c *connection) bar(code string) {
	if c.barredReason != "" || c.closeReason != "" {
		return
	}
	c.barredReason = code
	c.goAway()
	c.closeIfBarred()
}

func (c *connection) closeIfBarred() {
	if c.barredReason == "" || len(c.pending) > 0 || c.pendingChecks > 0 || c.closeReason != "" {
		return
	}
	// The answer that is being sent goes before the close.
	c.frontend.loop.ScheduleAt(c.frontend.loop.Now(), func() {
		if len(c.pending) == 0 && c.closeReason == "" {
			c.close(c.barredReason)
		}
	})
}

// maxRechecksPerSweep is how many connections are looked at again in one sweep after keys, authorities or lists have changed: a
// chain takes a tenth of a millisecond to follow. Every op is looked at besides.
const maxRechecksPerSweep = 64

// recheckCredentials has connections end that nothing is asked on and whose certificates no longer count.
func (in *Frontend) recheckCredentials() {
	in.authenticator.Sweep()
	rechecks := 0
	for _, c := range in.connections {
		if rechecks < maxRechecksPerSweep && c.closeReason == "" && in.authenticator.NeedsRecheck(&c.credential) {
			rechecks++
			if reason := in.authenticator.RevocationReason(&c.credential); reason != "" {
				c.bar(string(reason))
			}
		}
	}
}
