package keep

import (
	"time"

	"lanewheel/choice"
	"lanewheel/internal/loop"
	"lanewheel/internal/wire"
)

// database is the calls to the database that all instances share. Each has a connection of its own. Danger: a reply may
// come twice, or noise behind it, and what comes late on a connection that is used again would be taken for the next
// call's reply; and a resting connection may be forgotten there, so that nobody can tell whether the next call ran.
type database struct {
	below Below   // services that calls go to; nil: the configuration's one address
	open  int     // connections that stand or are being opened
	most  int     // as many as the descriptors left beside the client stubs allow
	wait  []*call // calls that wait for one
}

// call is one call of a run, until its outcome is told.
type call struct {
	op    *op
	began time.Duration
	until time.Duration
	conn  *wire.Database // nil while it waits for room
	sent  bool
	limit *loop.Timer
	done  func(choice.Outcome, time.Duration)
	place Place  // where it goes, where there are several
	last  string // where it was refused before
	tries int
}

// Below is several services that calls may go to. It belongs to the owner loop.
type Below interface {
	// Take gives a call a place at a service, but not at the one where it was refused; waiting is how many calls wait for one. It gives nil
	// while none has room.
	Take(not string, waiting int) Place
	// Freed has then called whenever there may be room again.
	Freed(then func())
}

// Place is a call's at one service.
type Place interface {
	Addr() string
	Longest() time.Duration // that the call may last there
	// Over gives the place back, once. running tells that the call may go on there for as long as it was told.
	Over(how choice.Outcome, running bool)
}

// CallAt has calls go to services that are told elsewhere. It belongs to the time before Serve.
func (in *Instance) CallAt(b Below) {
	in.database.below = b
	b.Freed(func() { in.database.next(in) })
}

func (d *database) call(in *Instance, o *op, until time.Duration, done func(choice.Outcome, time.Duration)) {
	d.drop(o.run.call) // a second call gives up the first
	c := &call{op: o, began: in.Now(), until: until, done: done}
	o.run.call = c
	c.limit = in.At(until, func() { d.end(in, c, c.cut(choice.TimedOut)) })
	if d.open >= d.most || !d.settle(in, c) {
		d.wait = append(d.wait, c)
		return
	}
	d.dial(in, c)
}

// settle finds a call its place, where there are several services.
func (d *database) settle(in *Instance, c *call) bool {
	if d.below == nil {
		return true
	}
	if c.place = d.below.Take(c.last, len(d.wait)+1); c.place == nil {
		return false
	}
	c.tries++
	// Danger: what is granted counts on calls that last no longer than is told.
	if until := in.Now() + c.place.Longest(); until < c.until {
		c.until = until
		c.limit.Drop()
		c.limit = in.At(until, func() { d.end(in, c, c.cut(choice.TimedOut)) })
	}
	return true
}

// leave gives a call's place back. running tells that it may go on below.
func (c *call) leave(how choice.Outcome, running bool) {
	if p := c.place; p != nil {
		c.place = nil
		p.Over(how, running)
	}
}

// dial opens the connection of a call and sends it.
func (d *database) dial(in *Instance, c *call) {
	d.open++
	addr := in.told.Database
	if c.place != nil {
		addr = c.place.Addr()
	}
	var conn *wire.Database
	conn = in.net.DialDatabase(addr, func(refused error) {
		switch {
		case refused == nil && c.op.run != nil && c.op.run.call == c:
			c.sent = true
			conn.Call(addr, c.op.id, c.until-in.Now(), c.op.run.ask)
		case refused != nil:
			d.open--
			if c.op.run != nil && c.op.run.call == c && d.again(in, c, addr) {
				return
			}
			c.leave(choice.Unreachable, false)
			d.end(in, c, choice.Unreachable) // nothing was sent
			d.next(in)
		}
	})
	c.conn = conn
	conn.OnReply = func(r wire.Reply) { d.reply(in, c, r) }
	conn.OnEnd = func(string) {
		d.open--
		c.leave(choice.ConnectionLost, c.sent)
		d.end(in, c, c.cut(choice.ConnectionLost))
		d.next(in)
	}
}

// again makes a call anew of which nothing was sent, as its address was refused: the database has moved, or there is another service.
func (d *database) again(in *Instance, c *call, addr string) bool {
	if d.below == nil {
		if addr == in.told.Database {
			return false
		}
		d.dial(in, c)
		return true
	}
	c.leave(choice.Unreachable, false)
	c.last = addr
	const tries = 2 // two that are refused one after the other are a network that is gone
	switch {
	case c.tries >= tries:
		return false
	case d.open >= d.most || !d.settle(in, c):
		d.wait = append(d.wait, c) // until another has room, or its time is up
	default:
		d.dial(in, c)
	}
	return true
}

// moved hears that the database's address is another now. Danger: calls whose dials the old one swallows wait there for their whole time.
func (d *database) moved(in *Instance) {
	if d.below != nil {
		return
	}
	for _, o := range in.ops {
		if r := o.run; r != nil && r.call != nil && r.call.conn != nil && !r.call.sent {
			r.call.conn.GiveUpDial() // it is refused so, and made again
		}
	}
}

// next gives waiting calls the room that there is.
func (d *database) next(in *Instance) {
	for len(d.wait) > 0 && d.open < d.most && d.settle(in, d.wait[0]) {
		c := d.wait[0]
		d.wait = d.wait[1:]
		d.dial(in, c)
	}
}

// reply tells what a reply proves, and no more.
func (d *database) reply(in *Instance, c *call, r wire.Reply) {
	if c.op.run == nil || c.op.run.call != c {
		return
	}
	how := choice.Failed
	switch {
	case r.Status == 200:
		how = choice.Succeeded
		o := c.op
		o.run.give = append(make([]byte, 0, len(r.Body)), r.Body...)
		o.run.wants = 0
		if in.runtime.synced {
			in.runtime.conn.Give(o.id, o.run.give)
		}
	case r.NeverStarted:
		how = choice.Rejected
	case r.Status == 504:
		how = choice.TimedOut
	}
	c.conn.Blame("answered")
	c.leave(how, false)
	d.end(in, c, how)
}

// end tells the outcome of a call, once, and ends its connection.
func (d *database) end(in *Instance, c *call, how choice.Outcome) {
	if c.op.run == nil || c.op.run.call != c {
		return
	}
	d.drop(c)
	c.op.run.call = nil
	in.touched = true
	c.done(how, in.Now()-c.began)
}

// cut is how a call comes out that was cut short. One that was never sent can't have run.
func (c *call) cut(how choice.Outcome) choice.Outcome {
	if c.sent {
		return how
	}
	return choice.Unreachable
}

// drop gives a call up: one that is on its way ends with its connection, as nothing else would end it there.
func (d *database) drop(c *call) {
	if c == nil {
		return
	}
	c.limit.Drop()
	c.leave(choice.TimedOut, c.sent)
	if c.conn != nil {
		c.conn.Close("call-given-up")
	}
	for i, waiting := range d.wait {
		if waiting == c {
			d.wait = append(d.wait[:i], d.wait[i+1:]...)
			break
		}
	}
}
