package keep

import (
	"log/slog"
	"slices"

	"lanewheel/internal/front"
	"lanewheel/internal/stubs"
)

// Move takes the addresses of a configuration that was read anew. What is under way at the old ones may end there.
func (in *Instance) Move(told Told) {
	before := in.told
	in.told.Runtime, in.told.Database, in.told.Roster = told.Runtime, told.Database, told.Roster
	slog.Info("moved", "runtime", told.Runtime, "db", told.Database, "roster", told.Roster)
	if told.Runtime != before.Runtime {
		in.runtime.backoff = 0
		in.connect()
	}
	if told.Database != before.Database {
		in.database.moved(in)
	}
	if told.Roster != before.Roster && in.health.roster != nil {
		in.health.roster.Close()
		in.health.roster = nil
		in.report()
	}
}

// Leave is the notice to drain: the instance is killed Stop from now. It serves on as the module decides.
func (in *Instance) Leave() {
	if in.leaving {
		return
	}
	in.leaving = true
	killAt := in.Now() + in.told.Stop
	slog.Info("leaving", "kill_ms", in.told.Stop.Milliseconds(), "held", len(in.ops))
	in.report()
	spans := stubs.SpansOf(in.told.Stop)
	for _, f := range in.fronts { // they close while connections still may be answered
		f.Leave(max(0, in.told.Stop-spans.Fronts))
	}
	if in.desk == nil { // nothing was ever taken in, so there is nothing to wait for
		killAt = min(killAt, in.Now()+spans.Part)
	} else {
		in.touched = true
		in.desk.Drain(killAt)
	}
	in.At(max(in.Now(), killAt-spans.Part), func() {
		if in.door != nil { // no op waits at the door past the module's last answers
			in.door.Stop()
		}
		in.stubs.Drain(spans, killAt, in.closed, func(connections int) {
			slog.Info("stopped", "connections", connections, "ops", len(in.ops))
			in.Over()
		})
	})
}

// closed tells whether the fronts beside the stubs' are done.
func (in *Instance) closed() bool {
	return !slices.ContainsFunc(in.fronts, func(f front.Front) bool { return !f.Closed() })
}
