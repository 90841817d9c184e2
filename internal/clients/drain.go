package clients

import "time"

// Checks of a drain: how often, and until when they stop for connections that are being accepted.
const (
	drainCheckInterval  = 5 * time.Millisecond
	acceptCheckInterval = time.Millisecond
	acceptorTurns       = 10 * time.Millisecond // what an idle acceptor takes to accept all that has connected
)

// DrainSchedule is how long before the process is killed the last steps of a drain come, in this order.
type DrainSchedule struct {
	GoAway           time.Duration // no connection is accepted any more, and all clients are asked to go away
	LastAnswers      time.Duration // what is still pending is answered
	FrontendsDrained time.Duration // further front ends have closed
	forceClose       time.Duration // connections that are still open are closed
	exit             time.Duration // the program ends
}

// DrainScheduleFor returns the schedule for a time between the notice and the kill. The steps are what a machine
// takes: a request that crosses GoAway comes within 50 ms, and a process may be suspended for some hundredths of a
// second. Where the kill comes soon, each is a part of that time at the most, in the same order.
func DrainScheduleFor(grace time.Duration) DrainSchedule {
	return DrainSchedule{
		GoAway:           min(300*time.Millisecond, grace/4),
		LastAnswers:      min(150*time.Millisecond, grace/8),
		FrontendsDrained: min(80*time.Millisecond, grace/15),
		forceClose:       min(60*time.Millisecond, grace/20),
		exit:             min(20*time.Millisecond, grace/60),
	}
}

// drain is the end of a Frontend. Owned by the event loop.
type drain struct {
	frontend      *Frontend
	schedule      DrainSchedule
	killAt        time.Duration
	othersDrained func() bool
	done          func(connections int)

	allAccepted bool // what had connected before the listeners closed has come to the event loop
	forceClosed int  // connections that were still open at forceClose
}

// Drain accepts no further connections, asks all clients to go away and closes the connections of those that stay.
// It calls done when all is closed and othersDrained says so, or shortly before the kill, with how many it had to
// close. It is called DrainSchedule.GoAway before killAt.
func (f *Frontend) Drain(
	schedule DrainSchedule, killAt time.Duration, othersDrained func() bool, done func(connections int),
) {
	f.net.RefuseNew()
	f.GoAway()
	d := &drain{frontend: f, schedule: schedule, killAt: killAt, othersDrained: othersDrained, done: done}
	f.loop.ScheduleAt(f.loop.Now()+min(acceptorTurns, schedule.GoAway/4), d.closeListeners)
}

// closeListeners closes the listeners once all that has connected is accepted, or when it gets late. What is not
// accepted by then is reset with the listening socket, and the requests written there are lost.
func (d *drain) closeListeners() {
	f := d.frontend
	latest := d.killAt - (d.schedule.GoAway+d.schedule.forceClose)/2
	if f.net.HasBacklog() && f.loop.Now() < latest {
		f.loop.ScheduleAt(f.loop.Now()+acceptCheckInterval, d.closeListeners)
		return
	}
	f.net.CloseListeners()
	d.await()
}

// await checks, again and again, whether all is closed.
func (d *drain) await() {
	f := d.frontend
	now := f.loop.Now()
	allClosed := d.allAccepted && len(f.connections) == 0 && d.othersDrained()
	if allClosed || now >= d.killAt-d.schedule.exit {
		d.done(d.forceClosed)
		return
	}
	// A connection that was accepted may not have come to the loop yet, with a request on it. It comes before what is
	// posted now.
	if !d.allAccepted && f.net.AllAccepted() {
		d.allAccepted = true
		f.loop.Post(d.await)
		return
	}
	interval := drainCheckInterval
	if !d.allAccepted {
		interval = acceptCheckInterval
	}
	next := d.killAt - d.schedule.forceClose
	if now >= next {
		d.closeAll()
		next = d.killAt - d.schedule.exit
	}
	f.loop.ScheduleAt(min(now+interval, next), d.await)
}

// closeAll closes all connections, the first time that there are any.
func (d *drain) closeAll() {
	if d.forceClosed > 0 {
		return
	}
	d.forceClosed = len(d.frontend.connections)
	for _, c := range d.frontend.connections {
		if c.closeReason == "" {
			c.close(closeShutdown)
		}
	}
}
