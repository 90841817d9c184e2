package keep

import (
	"log/slog"
	"slices"
	"time"

	"lanewheel/internal/front"
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
	for _, f := range in.fronts { // they close while connections still may be answered
		f.Leave(max(0, in.told.Stop-80*time.Millisecond))
	}
	if in.desk == nil { // nothing was ever taken in
		in.part(in.Now())
		return
	}
	in.touched = true
	in.desk.Leave(killAt)
	// Before the module gives its last answers, a sixth of a second before the kill, no connection comes in
	// any more and the stubs are asked to go; an op that crosses that comes within 50 ms.
	in.At(max(in.Now(), killAt-300*time.Millisecond), func() { in.part(killAt - 60*time.Millisecond) })
}

// part closes the listening socket, then the connections as they fall empty, and ends when none is left.
func (in *Instance) part(last time.Duration) {
	if in.door != nil { // no op waits at the door past the module's last answers
		in.door.Stop()
	}
	in.net.Deafen()
	// Time for those to be accepted that had connected before; they are asked to go when they show up.
	in.stubs.Part()
	in.At(in.Now()+10*time.Millisecond, func() {
		in.net.Shut()
		in.partWhenEmpty(last)
	})
}

func (in *Instance) partWhenEmpty(last time.Duration) {
	if in.stubs.Len() == 0 && !slices.ContainsFunc(in.fronts, func(f front.Front) bool { return !f.Closed() }) || in.Now() >= last {
		in.stubs.Stop()
		slog.Info("stopped", "connections", in.stubs.Len(), "ops", len(in.ops))
		in.Over()
		return
	}
	in.At(in.Now()+5*time.Millisecond, func() { in.partWhenEmpty(last) })
}
