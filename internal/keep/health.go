package keep

import (
	"log/slog"
	"time"

	"lanewheel/internal/wire"
)

// health is how checks are answered, and the reports to the roster.
type health struct {
	good, fromState bool
	roster          *wire.Roster
}

// well tells whether a check is answered good: never before the runtime has come up.
func (in *Instance) well() bool { return in.desk != nil && in.health.good }

// check answers a health check, a deep one by work unless the module has said to answer from its state.
func (in *Instance) check(c *caller, n uint32, deep bool) {
	c.used = in.Now()
	if !deep || in.health.fromState || !in.well() || !in.runtime.synced {
		c.conn.Checked(n, in.well() && (in.runtime.synced || !deep || in.health.fromState), in.with())
		return
	}
	c.checks++
	in.selftest(func(good bool) {
		c.checks--
		c.conn.Checked(n, good && in.well(), in.with())
	})
}

// selftest has the runtime do the work of a check. One that does not return in a second is bad.
func (in *Instance) selftest(done func(good bool)) {
	l := &in.runtime
	if l.tests == nil {
		l.tests = map[string]func(bool){}
	}
	mark := in.mark("test")
	late := in.At(in.Now()+time.Second, func() { l.tests[mark](false) })
	l.tests[mark] = func(good bool) {
		delete(l.tests, mark)
		late.Drop()
		done(good)
	}
	l.conn.Selftest(mark)
}

// reports tells the roster again and again that we are here, whatever else there is to do. Danger: the list forgets
// who is not heard for some seconds, and a datagram may be lost; so often, many in a row would have to be.
func (in *Instance) reports() {
	in.report()
	in.At(in.Now()+250*time.Millisecond, in.reports)
}

func (in *Instance) report() {
	if in.health.roster == nil {
		r, err := wire.NewRoster(in.told.Roster, in.told.Name)
		if err != nil {
			slog.Warn("no-roster", "err", err)
			return
		}
		in.health.roster = r
	}
	in.health.roster.Report(!in.leaving && (in.health.good || !in.told.Readiness))
}
