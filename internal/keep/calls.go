package keep

import (
	"time"

	"lanewheel/choice"
	"lanewheel/internal/wire"
)

// database is the connections to the database that all instances share.
type database struct {
	open int     // connections that stand or are being opened
	most int     // as many as the descriptors left beside the client stubs allow
	idle []*held // those without a call, the last used at the end
	wait []*call // calls that wait for one
}

// held is one connection, with the call that is on it.
type held struct {
	conn *wire.Database
	call *call
	used time.Duration
}

// call is one call of a run, until its outcome is told.
type call struct {
	op    *op
	began time.Duration
	until time.Duration
	on    *held
	sent  bool
	limit *Timer
	done  func(choice.Ending, time.Duration)
}

func (d *database) init(in *Instance) {
	// A quarter of the descriptors: the stubs have a half, and a part stays for our own links.
	d.most = max(1, in.told.Sockets/4)
}

func (d *database) call(in *Instance, o *op, until time.Duration, done func(choice.Ending, time.Duration)) {
	d.drop(o.run.call) // a second call gives up the first
	c := &call{op: o, began: in.now, until: until, done: done}
	o.run.call = c
	c.limit = in.At(until, func() { d.end(in, c, c.cut(choice.GivenUp)) })
	for len(d.idle) > 0 {
		h := d.idle[len(d.idle)-1]
		d.idle = d.idle[:len(d.idle)-1]
		if !h.conn.Spent() {
			d.put(in, h, c)
			return
		}
	}
	if d.open >= d.most {
		d.wait = append(d.wait, c)
		return
	}
	d.dial(in, c)
}

// dial opens a connection for a call.
func (d *database) dial(in *Instance, c *call) {
	h := &held{call: c}
	c.on = h
	d.open++
	h.conn = in.net.DialDatabase(in.told.Database, func(refused error) {
		if refused != nil {
			d.open--
			if h.call != nil {
				d.end(in, h.call, choice.Unreached) // nothing was sent
			}
			d.next(in)
			return
		}
		if h.call != nil {
			d.put(in, h, h.call)
		}
	})
	h.conn.OnReply = func(r wire.Reply) { d.reply(in, h, r) }
	h.conn.OnEnd = func(string) {
		d.open--
		if h.call != nil {
			d.end(in, h.call, h.call.cut(choice.Broken))
		}
		d.next(in)
	}
}

func (d *database) put(in *Instance, h *held, c *call) {
	h.call, c.on, c.sent = c, h, true
	h.conn.Call(in.told.Database, c.op.id, c.until-in.now, c.op.run.ask)
}

// rest keeps a connection for the next call; it is closed well before the 10 s at which the database does.
func (d *database) rest(in *Instance, h *held) {
	h.used = in.now
	if len(d.wait) > 0 {
		c := d.wait[0]
		d.wait = d.wait[1:]
		d.put(in, h, c)
		return
	}
	d.idle = append(d.idle, h)
	since := h.used
	in.At(in.now+5*time.Second, func() {
		if h.call == nil && h.used == since {
			h.conn.Close("unused")
		}
	})
}

// next gives a waiting call the room that a connection has left.
func (d *database) next(in *Instance) {
	if len(d.wait) > 0 && d.open < d.most {
		c := d.wait[0]
		d.wait = d.wait[1:]
		d.dial(in, c)
	}
}

// reply tells what a reply proves, and no more.
func (d *database) reply(in *Instance, h *held, r wire.Reply) {
	c := h.call
	if c == nil {
		h.conn.Close("unasked-reply")
		return
	}
	h.call, c.on = nil, nil
	how := choice.Failed
	switch {
	case r.Status == 200:
		how = choice.Acked
		o := c.op
		o.run.give = append(make([]byte, 0, len(r.Body)), r.Body...)
		o.run.wants = 0
		if in.runtime.synced {
			in.runtime.conn.Give(o.id, o.run.give)
		}
	case r.NeverStarted:
		how = choice.Full
	case r.Status == 504:
		how = choice.GivenUp
	}
	d.end(in, c, how)
	if h.conn.Spent() {
		h.conn.Close("reply-ends-it")
		return
	}
	d.rest(in, h)
}

// end tells the outcome of a call, once.
func (d *database) end(in *Instance, c *call, how choice.Ending) {
	if c.op.run == nil || c.op.run.call != c {
		return
	}
	d.drop(c)
	c.op.run.call = nil
	in.touched = true
	c.done(how, in.now-c.began)
}

// cut is how a call comes out that was cut short. One that was never sent can't have run.
func (c *call) cut(how choice.Ending) choice.Ending {
	if c.sent {
		return how
	}
	return choice.Unreached
}

// drop gives a call up: one that is on its way ends with its connection, as nothing else would end it there.
func (d *database) drop(c *call) {
	if c == nil {
		return
	}
	c.limit.Drop()
	if c.on != nil {
		c.on.call = nil
		c.on.conn.Close("call-given-up")
		c.on = nil
	}
	for i, waiting := range d.wait {
		if waiting == c {
			d.wait = append(d.wait[:i], d.wait[i+1:]...)
			break
		}
	}
}
