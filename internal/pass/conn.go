package pass

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/spread"
	"lanewheel/internal/wire"
)

// conn is one connection to a member.
type conn struct {
	p      *Passer
	m      *member
	client *wire.ClientConn
	stands bool
	closes bool // nothing new goes on it
	next   uint32
	open   map[uint32]*Op
	waits  []*Op // until it stands
	used   time.Duration
}

// mostOpen is the protocol's bound on ops open on one connection.
const mostOpen = 32

// standsBy is how long ops wait for a connection to stand before they go elsewhere: some round trips of a poor link.
const standsBy = 300 * time.Millisecond

// conn gives the connection to a member that an op goes on: the emptiest that stands, else one that is being opened, else a new
// one. It gives nil where all are full. Danger: hundreds of deciders times hundreds of members: none is opened while another has room.
func (m *member) conn(p *Passer) *conn {
	var best, opening *conn
	for _, c := range m.conns {
		switch {
		case c.closes:
		case !c.stands:
			if len(c.waits) < mostOpen {
				opening = c
			}
		case len(c.open) < mostOpen && (best == nil || len(c.open) < len(best.open)):
			best = c
		}
	}
	if best != nil {
		return best
	}
	if opening != nil || len(m.conns) >= p.told.Connections {
		return opening
	}
	c := &conn{p: p, m: m, open: map[uint32]*Op{}, used: p.loop.Now()}
	m.conns = append(m.conns, c)
	late := p.loop.ScheduleAt(p.loop.Now()+standsBy, func() { c.elsewhere() })
	c.client = p.net.DialMember(m.addr, func(refused error) {
		late.Stop()
		if refused != nil {
			c.remove()
			c.elsewhere()
			return
		}
		c.stands = true
		waits := c.waits
		c.waits = nil
		for _, o := range waits {
			c.send(o)
		}
		c.leaveIfDone()
	})
	c.client.OnResponse = c.answered
	c.client.OnGoAway = c.part
	c.client.OnClose = func(code string) { c.end() }
	return c
}

// elsewhere has the ops that wait for the connection to stand go to other members: nothing of them went out.
func (c *conn) elsewhere() {
	waits := c.waits
	c.waits = nil
	for _, o := range waits {
		if o.at == c {
			c.p.ended(o, c.m.name, busy, spread.NoResponse, true)
		}
	}
}

func (c *conn) send(o *Op) {
	if o.done == nil || o.at != c {
		return
	}
	c.next++
	o.n, o.sent = c.next, true
	c.open[o.n] = o
	c.client.Send(o.n, o.ask)
}

// answered hears an answer. One to an op that was given up here meanwhile is nobody's.
func (c *conn) answered(n uint32, a wire.Response) {
	o := c.open[n]
	if o == nil {
		return
	}
	delete(c.open, n)
	c.used = c.p.loop.Now()
	what := spread.Failed
	switch a.Error {
	case "":
		what = spread.Succeeded
	case "Busy":
		what = spread.Rejected
	case "Denied": // it says nothing of the member
		c.p.Chooser.RecordCancel(c.m.name)
		o.at = nil
		o.end(Ended{What: spread.Rejected, Response: a})
		c.leaveIfDone()
		return
	}
	c.p.ended(o, c.m.name, a, what, false)
	c.leaveIfDone()
}

// part puts nothing new on the connection: its member asked for that, or is none any more.
func (c *conn) part() {
	c.closes = true
	c.leaveIfDone()
}

func (c *conn) leaveIfDone() {
	if c.closes && c.stands && len(c.open) == 0 {
		c.client.Close("unused")
	}
}

// end hears that the connection is over. Whether what was open on it ran, nobody knows.
func (c *conn) end() {
	c.remove()
	c.stands = false
	open := c.open
	c.open = map[uint32]*Op{}
	for _, n := range slices.Sorted(maps.Keys(open)) {
		c.p.ended(open[n], c.m.name, lost, spread.NoResponse, false)
	}
	c.elsewhere()
}

func (c *conn) remove() {
	c.closes = true
	c.m.conns = slices.DeleteFunc(c.m.conns, func(x *conn) bool { return x == c })
}

// sweep closes connections that have carried nothing for long. Danger: each change of mind leaves one open.
func (p *Passer) sweep() {
	for _, m := range p.members {
		for _, c := range slices.Clone(m.conns) {
			if c.stands && len(c.open) == 0 && p.loop.Now()-c.used > p.told.Unused {
				c.part()
			}
		}
	}
	p.loop.ScheduleAt(p.loop.Now()+time.Second, p.sweep)
}
