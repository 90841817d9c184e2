package keep

import (
	"maps"
	"slices"
	"time"

	"lanewheel/internal/wire"
)

// caller is a client stub's connection with the ops that are open on it.
type caller struct {
	in      *Instance
	conn    *wire.Stub
	open    map[uint32]*op
	used    time.Duration // when something last came or went on it
	parting time.Duration // when it was asked to go away, 0 if it was not
	checks  int           // health checks that wait for their verdict
	dying   string        // it is closed for this reason once nothing is open
}

// accept makes a new connection one of a client stub. It runs beside the owner loop.
func (in *Instance) accept(l *wire.Link) {
	s := l.Stub()
	c := &caller{in: in, conn: s, open: map[uint32]*op{}}
	s.OnOp = func(n uint32, ask wire.Ask) { in.read(c, n, ask) }
	s.OnInterrupt = func(n uint32) {
		c.used = in.now
		if o := c.open[n]; o != nil {
			in.gone(o)
		}
	}
	s.OnCheck = func(n uint32, deep bool) { in.check(c, n, deep) }
	s.OnFault = c.fault
	s.OnEnd = func(string) {
		delete(in.stubs, s)
		for _, n := range slices.Sorted(maps.Keys(c.open)) {
			in.gone(c.open[n])
		}
	}
	in.Hand(func() {
		c.used = in.now
		in.stubs[s] = c
		if in.parting {
			c.part()
		}
	})
}

// fault ends a connection, after what is open on it has been dealt with.
func (c *caller) fault(code string) {
	if c.dying != "" {
		return
	}
	c.dying = code
	c.conn.Blame(code)
	if len(c.open) == 0 {
		c.conn.Close(code)
	}
}

// part asks a stub to send nothing new here.
func (c *caller) part() {
	if c.parting == 0 {
		c.parting = max(c.in.now, 1)
		c.conn.GoAway()
	}
}

// sweepConnections asks those to go away that have been unused for as long as the module allows.
func (in *Instance) sweepConnections() {
	// How long a stub has to close after goaway; an op that crosses it comes within 50 ms.
	const partingFor = 250 * time.Millisecond
	for _, c := range in.stubs {
		switch {
		case len(c.open) > 0 || c.checks > 0:
		case c.parting > 0 && in.now-max(c.parting, c.used) > partingFor:
			c.conn.Close("unused")
		case c.parting == 0 && in.idle > 0 && in.now-c.used > in.idle:
			c.part()
		}
	}
	// A sixteenth of the usual span is near enough; it is ten times a second at most.
	in.At(in.now+max(100*time.Millisecond, in.idle/16), in.sweepConnections)
}
