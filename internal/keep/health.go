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

// Check is stubs.Core: a deep one goes by work unless the module has said to answer from its state.
func (in *Instance) Check(deep bool, then func(good bool)) {
	if !deep || in.health.fromState || !in.well() || !in.runtime.synced {
		then(in.well() && (in.runtime.synced || !deep || in.health.fromState))
		return
	}
	in.selftest(func(good bool) { then(good && in.well()) })
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
	if in.told.Roster == "" { // there is none
		return
	}
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
