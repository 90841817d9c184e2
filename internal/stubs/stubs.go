// Package stubs is the front of client stubs on connections: it takes their ops to a core and their answers back, and ends the connections of
// those that break the protocol, stay silent or are not used. It belongs to the core's loop, and asks nothing of an op.
package stubs

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/certs"
	"lanewheel/internal/front"
	"lanewheel/internal/identity"
	"lanewheel/internal/loop"
	"lanewheel/internal/rights"
	"lanewheel/internal/wire"
)

// Core is what this front needs beside what any front does.
type Core interface {
	front.Server
	// Owes gives who is owed the answer of an op in hand, nil if none is.
	Owes(id string) front.Responder
	// Check has then called with whether all is well; deep asks whether work gets done.
	Check(deep bool, then func(good bool))
	// With is what rides on every answer.
	With() front.ResponseMetadata
}

// Door is who knows callers; nil where everybody may do everything.
type Door interface {
	Standing(*identity.Badge) rights.Reason
	Old(*identity.Badge) bool
	Sweep()
}

// Front is all connections of client stubs.
type Front struct {
	core    Core
	loop    *loop.Loop
	net     *wire.Net
	door    Door
	all     map[*wire.Stub]*caller
	idle    time.Duration // how long an unused connection may stay, as last said
	parting bool          // it asks all connections to go
	swept   time.Duration // when the connections were last looked through
}

// New makes the front of a core whose loop and connections it shares. A nil door lets all in.
func New(core Core, l *loop.Loop, net *wire.Net, door Door, idle time.Duration) *Front {
	return &Front{core: core, loop: l, net: net, door: door, all: map[*wire.Stub]*caller{}, idle: idle}
}

// IdleFor says how long an unused connection may stay.
func (f *Front) IdleFor(span time.Duration) { f.idle = span }

// Len is how many connections there are.
func (f *Front) Len() int { return len(f.all) }

// Spans is how long before the kill the last steps of a drain come.
type Spans struct {
	Part    time.Duration // no connection comes in any more, and all stubs are asked to go
	Answers time.Duration // what is still open is answered
	Fronts  time.Duration // what else speaks to others has closed
	End     time.Duration // what still stands is ended by us
	Gone    time.Duration // the program ends
}

// SpansOf works them out from the time between notice and kill. They are the times that a machine takes, whoever's it is: an op that
// crosses the asking to go comes within 50 ms, and a process may stand still for some hundredths of a second. Danger: a kill that comes
// so soon that they are longer than the whole drain. Each is a part of it at the most, in the same order.
func SpansOf(stop time.Duration) Spans {
	const ms = time.Millisecond
	return Spans{Part: min(300*ms, stop/4), Answers: min(150*ms, stop/8), Fronts: min(80*ms, stop/15), End: min(60*ms, stop/20), Gone: min(20*ms, stop/60)}
}

// Drain has no connection come in any more, asks all stubs to go, ends those that stay, and calls over when all is gone or the program has to
// be, with how many had to be ended. It is called Part before killAt; others tells whether all else is done.
func (f *Front) Drain(spans Spans, killAt time.Duration, others func() bool, over func(connections int)) {
	f.net.Deafen()
	f.Part()
	// Danger: what had connected before and is not accepted yet is reset with the listening socket, and the ops written there are lost. A
	// few turns of the acceptor do where it is idle; else until all are in.
	at, latest := f.loop.Now()+min(10*time.Millisecond, spans.Part/4), killAt-(spans.Part+spans.End)/2
	var shut, left func()
	shut = func() {
		if f.net.Backlog() && f.loop.Now() < latest {
			f.loop.ScheduleAt(f.loop.Now()+time.Millisecond, shut)
			return
		}
		f.net.Shut()
		left()
	}
	ended, settled := 0, false
	left = func() {
		now := f.loop.Now()
		if now >= killAt-spans.Gone || settled && f.Len() == 0 && others() {
			over(ended)
			return
		}
		// Danger: a connection that was accepted and has not come to the loop yet, with an op on it. It comes before what is handed in now.
		if !settled && f.net.Done() {
			settled = true
			f.loop.Post(left)
			return
		}
		next := now + 5*time.Millisecond
		if !settled {
			next = now + time.Millisecond
		}
		if now < killAt-spans.End {
			next = min(next, killAt-spans.End)
		} else {
			if ended == 0 {
				ended = f.Len()
				f.Stop()
			}
			next = min(next, killAt-spans.Gone)
		}
		f.loop.ScheduleAt(next, left)
	}
	f.loop.ScheduleAt(at, shut)
}

// Part asks all stubs to send nothing new here, also those that are accepted from now on.
func (f *Front) Part() {
	f.parting = true
	for _, c := range f.all {
		c.part()
	}
}

// Stop ends all connections.
func (f *Front) Stop() {
	for _, c := range f.all {
		if c.dying == "" {
			c.close("stopped")
		}
	}
}

// check answers a health check.
func (c *caller) check(n uint32, deep bool) {
	c.used = c.in.loop.Now()
	c.checks++
	c.in.core.Check(deep, func(good bool) {
		c.checks--
		c.conn.Checked(n, good, c.in.core.With())
	})
}

// caller is a client stub's connection with the ops that are open on it.
type caller struct {
	in      *Front
	conn    *wire.Stub
	open    map[uint32]*asked
	used    time.Duration // when something last came or went on it
	parting time.Duration // when it was asked to go away, 0 if it was not
	checks  int           // health checks that wait for their verdict
	dying   string        // it was closed, for this reason
	heard   bool          // a whole message has come on it
	strikes int           // asks in a row that could never be served
	badge   identity.Badge
	barred  string // why nothing more is taken from it; it ends when its open ops are answered
}

// Accept makes a new connection one of a client stub. It runs beside the owner loop.
func (in *Front) Accept(l *wire.Link) {
	s := l.Stub()
	c := &caller{in: in, conn: s, open: map[uint32]*asked{}}
	s.OnOp = func(n uint32, ask wire.Ask) {
		c.heard = true
		c.ask(n, ask)
	}
	s.OnInterrupt = func(n uint32) {
		c.heard = true
		if a := c.open[n]; a != nil {
			in.core.Cancel(a.op)
		}
	}
	s.OnCheck = func(n uint32, deep bool) {
		if c.heard = true; c.dying == "" {
			c.check(n, deep)
		}
	}
	s.OnProven = c.proven
	s.OnFault = c.fault
	s.OnEnd = func(string) {
		delete(in.all, s)
		for _, n := range slices.Sorted(maps.Keys(c.open)) {
			in.core.Cancel(c.open[n].op)
		}
	}
	in.loop.Post(func() {
		c.used = in.loop.Now()
		in.all[s] = c
		if in.parting {
			c.part()
		}
	})
}

// fault ends the connection of a client that broke the protocol, and fails what is open on it, at once.
// Danger: an op of such a client that is acked, or one that leaves the client waiting for the others' ends.
func (c *caller) fault(code string) {
	if c.dying != "" {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(c.open)) {
		c.conn.Failed(n, c.in.core.With())
		c.in.core.Cancel(c.open[n].op)
	}
	c.close(code)
}

// close ends a connection on which nothing is open.
func (c *caller) close(code string) {
	c.dying, c.used = code, c.in.loop.Now()
	c.conn.Close(code)
}

// mostStrikes is how many asks in a row that could never be served end a connection. Danger: a client that sends the same again
// at once, for ever, takes the loop's time from the others; it has to come by a new connection.
const mostStrikes = 8

// ask takes an op off the connection.
func (c *caller) ask(n uint32, ask wire.Ask) {
	switch {
	case c.dying != "":
		return
	case c.open[n] != nil:
		c.fault("id-twice")
		return
	case len(c.open) >= 32:
		c.fault("too-many-open")
		return
	}
	if a, is := c.in.core.Owes(ask.ID).(*asked); is && a.c == c {
		c.fault("op-twice")
		return
	}
	a := &asked{c: c, n: n}
	c.open[n], c.used = a, c.in.loop.Now()
	a.op = c.in.core.Submit(ask, &c.badge, a)
}

// asked is an op that a stub's connection is owed the answer of: a front.Owed.
type asked struct {
	c  *caller
	n  uint32
	op front.Handle
}

func (a *asked) Succeed(result []byte, with front.ResponseMetadata) {
	a.c.strikes = 0
	a.c.conn.Answer(a.n, result, with)
}
func (a *asked) Reject(with front.ResponseMetadata) { a.c.strikes = 0; a.c.conn.Refuse(a.n, with) }
func (a *asked) Fail(with front.ResponseMetadata)   { a.c.strikes = 0; a.c.conn.Failed(a.n, with) }

func (a *asked) Done() {
	if a.c.open[a.n] == a {
		delete(a.c.open, a.n)
	}
	a.c.used = a.c.in.loop.Now()
	a.c.leaveIfBarred()
}

// RejectPermanently answers what could never be served. What the runtime does not know ends the connection, as do several such asks in a
// row; a certificate that no longer counts bars it.
func (a *asked) RejectPermanently(code string, with front.ResponseMetadata) {
	c := a.c
	strike := true
	if with.Reason != "" {
		c.conn.Denied(a.n, with)
		if c.in.door != nil {
			if standing := c.in.door.Standing(&c.badge); standing != "" {
				c.bar(string(standing))
				return
			}
		}
		strike = identity.Forged(rights.Reason(with.Reason))
	} else {
		c.conn.Failed(a.n, with)
	}
	if strike {
		c.strikes++
	}
	if code == "unknown-op" || c.strikes >= mostStrikes {
		delete(c.open, a.n) // answered; the others fail
		c.fault(code)
	}
}

// part asks a stub to send nothing new here.
func (c *caller) part() {
	if c.parting == 0 {
		c.parting = max(c.in.loop.Now(), 1)
		c.conn.GoAway()
	}
}

// Sweep, again and again, asks those to go away that have been unused for as long as the module allows, and ends those on
// which nothing whole comes. Danger: connections by the hundred on which nothing is said, or half an op, fill the table.
func (in *Front) Sweep() {
	// How long a stub has to close after goaway; an op that crosses it comes within 50 ms.
	const partingFor = 250 * time.Millisecond
	// A message is 3 KiB at most and a stub opens a connection when it has one to send: many round trips of a poor
	// link, and half of the 3 s in which whoever connects should hear something.
	const patience = 1500 * time.Millisecond
	// A handshake is two round trips and some certificates; on a poor link each may come a second late.
	const handshakeFor = 3 * time.Second
	const often = 100 * time.Millisecond
	// Danger: a machine that stood still makes what came meanwhile look as if it had never come.
	stood := in.loop.Now()-in.swept > 5*often
	in.swept = in.loop.Now()
	if in.door != nil {
		in.sweepDoor()
	}
	for _, c := range in.all {
		switch {
		case c.dying != "":
			if in.loop.Now()-c.used > time.Second { // it does not take the last answers either
				c.conn.Cut()
			}
		case c.conn.Unfinished(in.loop.WallTime()) > patience && !stood:
			c.fault("unfinished")
		case c.conn.Proves():
			if in.loop.Now()-c.used > handshakeFor && !stood {
				c.close("handshake-slow")
			}
		// Danger: a close in the middle of an op's message, whose sender has to begin again elsewhere.
		case len(c.open) > 0 || c.checks > 0 || c.conn.Partial():
		case !c.heard && in.loop.Now()-c.used > patience && !stood:
			c.close("silent")
		case c.parting > 0 && in.loop.Now()-max(c.parting, c.used) > partingFor:
			c.close("unused")
		case c.parting == 0 && in.idle > 0 && in.loop.Now()-c.used > in.idle:
			c.part()
		}
	}
	in.loop.ScheduleAt(in.loop.Now()+often, in.Sweep)
}

// MakeRoom ends the connection that has been unused for longest, those on which nothing was ever said first. Danger:
// a table full of them, and stubs with ops that wait outside.
func (in *Front) MakeRoom() {
	// Twice what an op may take to come that was sent before its stub saw the end; ten times that where ops have come.
	const crossing, again = 100 * time.Millisecond, time.Second
	var first, ending *caller
	proving, most := in.net.Proving()
	onlyProving := proving >= most // there is room for connections, but for no more handshakes
	for _, c := range in.all {
		unused := in.loop.Now() - c.used
		if c.dying != "" && (ending == nil || c.used < ending.used) {
			ending = c
		}
		if c.dying != "" || len(c.open) > 0 || c.checks > 0 || unused < crossing || c.heard && unused < again ||
			onlyProving && !c.conn.Proves() {
			continue
		}
		if first == nil || first.heard && !c.heard || first.heard == c.heard && c.used < first.used {
			first = c
		}
	}
	switch {
	case ending != nil && in.loop.Now()-ending.used > crossing: // has had time to read its last answers, and gives its room at once
		ending.conn.Cut()
	case first != nil:
		first.close("crowded")
	}
}

// proven hears that a handshake is over.
func (c *caller) proven(proof any) {
	c.used = c.in.loop.Now()
	c.badge.Proof, _ = proof.(*certs.Proof)
	if c.parting > 0 { // what it was told before could not be sent
		c.conn.GoAway()
	}
}

// bar takes nothing more from a connection whose certificate was taken back. What was read gets its answer; the connection
// ends with the last one.
func (c *caller) bar(code string) {
	if c.barred != "" || c.dying != "" {
		return
	}
	c.barred = code
	c.part()
	c.leaveIfBarred()
}

func (c *caller) leaveIfBarred() {
	if c.barred == "" || len(c.open) > 0 || c.checks > 0 || c.dying != "" {
		return
	}
	// The answer that is being sent goes before the close.
	c.in.loop.ScheduleAt(c.in.loop.Now(), func() {
		if len(c.open) == 0 && c.dying == "" {
			c.close(c.barred)
		}
	})
}

// looksAtOnce is how many connections are looked at again in one sweep after keys, authorities or lists have changed: a
// chain takes a tenth of a millisecond to follow. Every op is looked at besides.
const looksAtOnce = 64

// sweepDoor has connections end that nothing is asked on and whose certificates no longer count.
func (in *Front) sweepDoor() {
	in.door.Sweep()
	looks := 0
	for _, c := range in.all {
		if looks < looksAtOnce && c.dying == "" && in.door.Old(&c.badge) {
			looks++
			if why := in.door.Standing(&c.badge); why != "" {
				c.bar(string(why))
			}
		}
	}
}
