package relay

import (
	"log/slog"
	"slices"
	"time"

	"lanewheel/internal/front"
	"lanewheel/internal/spread"
	"lanewheel/internal/wire"
)

// mostOpen is the protocol's bound on ops open on one connection.
const mostOpen = 32

// standsBy is how long ops wait for a connection to stand before they go elsewhere: some round trips of a poor link.
const standsBy = 300 * time.Millisecond

// conn gives the connection to a member that an op goes on: the emptiest that stands, else one that is being opened, else a new
// one. It gives nil where all are full. Danger: hundreds of deciders times hundreds of members: none is opened while another has room.
func (m *member) conn(r *Relay) *conn {
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
	if opening != nil || len(m.conns) >= r.told.Connections {
		return opening
	}
	c := &conn{r: r, m: m, open: map[uint32]*op{}, used: r.Now()}
	m.conns = append(m.conns, c)
	late := r.At(r.Now()+standsBy, func() { c.elsewhere() })
	c.client = r.net.Client(m.addr, func(refused error) {
		late.Drop()
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
	c.client.OnAnswer = c.answered
	c.client.OnGoAway = c.part
	c.client.OnEnd = func(code string) { c.end() }
	return c
}

// elsewhere has the ops that wait for the connection to stand go to other members: nothing of them went out.
func (c *conn) elsewhere() {
	waits := c.waits
	c.waits = nil
	for _, o := range waits {
		if o.at == c {
			c.r.ended(o, c.m.name, wire.Outcome{Error: "Busy", With: c.r.With()}, spread.Lost, true)
		}
	}
}

func (c *conn) send(o *op) {
	if o.owed == nil || o.at != c {
		return
	}
	c.next++
	o.n, o.sent = c.next, true
	c.open[o.n] = o
	c.client.Ask(o.n, o.ask)
}

// answered hears an answer. One to an op that was given up here meanwhile is nobody's.
func (c *conn) answered(n uint32, a wire.Outcome) {
	o := c.open[n]
	if o == nil {
		return
	}
	delete(c.open, n)
	c.used = c.r.Now()
	what := spread.Failed
	switch a.Error {
	case "":
		what = spread.Served
	case "Busy":
		what = spread.Refused
	case "Denied": // it says nothing of the member
		c.r.chooser.Left(c.m.name)
		o.at = nil
		o.end(func(w front.Owed) { w.Reject("denied", a.With) })
		c.leaveIfDone()
		return
	}
	c.r.ended(o, c.m.name, a, what, false)
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
	c.open = map[uint32]*op{}
	for _, n := range slices.Sorted(func(yield func(uint32) bool) {
		for n := range open {
			if !yield(n) {
				return
			}
		}
	}) {
		c.r.ended(open[n], c.m.name, wire.Outcome{Error: "Failed", With: c.r.With()}, spread.Lost, false)
	}
	c.elsewhere()
}

func (c *conn) remove() {
	c.closes = true
	c.m.conns = slices.DeleteFunc(c.m.conns, func(x *conn) bool { return x == c })
}

// sweep closes connections that have carried nothing for long. Danger: each change of mind leaves one open.
func (r *Relay) sweep() {
	for _, m := range r.members {
		for _, c := range slices.Clone(m.conns) {
			if c.stands && len(c.open) == 0 && r.Now()-c.used > r.told.Unused {
				c.part()
			}
		}
	}
	r.At(r.Now()+time.Second, r.sweep)
}

// report tells the roster that we are here, as an instance does.
func (r *Relay) report() {
	if r.roster == nil {
		var err error
		if r.roster, err = wire.NewRoster(r.config.Roster, r.config.Name); err != nil {
			slog.Warn("no-roster", "err", err)
		}
	}
	if r.roster != nil {
		r.roster.Report(!r.leaving && r.chooser.Len() > 0)
	}
	r.At(r.Now()+250*time.Millisecond, r.report)
}

// Leave is the notice to drain: the process is killed Stop from now. What comes within the grace is passed on, what comes later turned away;
// the stubs are asked to go, and all that was read is answered.
func (r *Relay) Leave() {
	if r.leaving {
		return
	}
	r.leaving, r.until = true, r.Now()+r.told.Grace
	slog.Info("leaving", "kill_ms", r.config.Stop.Milliseconds(), "held", len(r.ops))
	killAt := r.Now() + r.config.Stop
	r.report()
	for _, f := range r.fronts {
		f.Leave(max(0, r.config.Stop-80*time.Millisecond))
	}
	r.stubs.Part()
	// What is still open then gets its answer a sixth of a second before the kill, as an instance's ops do.
	r.At(max(r.Now(), killAt-150*time.Millisecond), func() {
		for _, o := range r.ops {
			o.late()
		}
	})
	r.At(max(r.Now(), killAt-300*time.Millisecond), func() {
		r.net.Deafen()
		r.At(r.Now()+10*time.Millisecond, func() {
			r.net.Shut()
			r.leftWhenEmpty(killAt - 60*time.Millisecond)
		})
	})
}

func (r *Relay) leftWhenEmpty(last time.Duration) {
	closed := !slices.ContainsFunc(r.fronts, func(f front.Front) bool { return !f.Closed() })
	if r.stubs.Len() == 0 && len(r.ops) == 0 && closed || r.Now() >= last {
		r.stubs.Stop()
		c := r.Counts
		slog.Info("stopped", "connections", r.stubs.Len(), "ops", len(r.ops), "asked", c.Asked, "served", c.Served, "refused", c.Refused, "failed", c.Failed,
			"lost", c.Lost, "again", c.Again, "late", c.Late, "nobody", c.Nobody)
		r.Over()
		return
	}
	r.At(r.Now()+5*time.Millisecond, func() { r.leftWhenEmpty(last) })
}
