package clients

import "time"

// Times of the checks during a drain.
const (
	drainCheckInterval  = 5 * time.Millisecond  // once all connections have been accepted
	acceptCheckInterval = time.Millisecond      // while connections are still being accepted
	acceptorLatency     = 10 * time.Millisecond // time that an idle acceptor takes to accept all established connections
)

// DrainSchedule holds the times of the last steps of a drain, as durations before the process is killed. The steps
// take place in the order of the fields.
type DrainSchedule struct {
	GoAway           time.Duration // new connections are refused and all clients are asked to go away
	LastAnswers      time.Duration // all pending requests are answered
	FrontendsDrained time.Duration // the other front ends have closed
	forceClose       time.Duration // all open connections are closed
	exit             time.Duration // the process exits
}

// DrainScheduleFor returns the schedule for the grace period, which is the time between the notice and the
// kill. The durations allow for delays of the machine: a request sent before its client receives GoAway arrives
// within 50 ms, and a process may be suspended for some hundredths of a second. If the grace period is short,
// each duration is limited to a fraction of it, so that the order of the steps stays the same.
func DrainScheduleFor(grace time.Duration) DrainSchedule {
	return DrainSchedule{
		GoAway:           min(300*time.Millisecond, grace/4),
		LastAnswers:      min(150*time.Millisecond, grace/8),
		FrontendsDrained: min(80*time.Millisecond, grace/15),
		forceClose:       min(60*time.Millisecond, grace/20),
		exit:             min(20*time.Millisecond, grace/60),
	}
}

// drain is the state of a Frontend that is draining. It is owned by the event loop.
type drain struct {
	frontend      *Frontend
	schedule      DrainSchedule
	killAt        time.Duration
	othersDrained func() bool
	done          func(connections int)

	allAccepted bool // the event loop has received all connections accepted before the listeners closed
	forceClosed int  // connections that were still open at forceClose
}

// Drain refuses new connections, asks all clients to go away and closes the connections of those that stay. It
// calls done with the number of connections that it had to close, as soon as all connections are closed and
// othersDrained returns true, or otherwise shortly before the kill. It must be called DrainSchedule.GoAway
// before killAt.
func (f *Frontend) Drain(
	schedule DrainSchedule, killAt time.Duration, othersDrained func() bool, done func(connections int),
) {
	f.net.RefuseNew()
	f.GoAway()
	d := &drain{frontend: f, schedule: schedule, killAt: killAt, othersDrained: othersDrained, done: done}
	f.loop.ScheduleAt(f.loop.Now()+min(acceptorLatency, schedule.GoAway/4), d.closeListeners)
}

// closeListeners closes the listeners once all established connections have been accepted, or when there is no
// time left to wait for that. Closing the listening socket resets the connections that have not been accepted,
// and the requests written to them are lost.
func (d *drain) closeListeners() {
	f := d.frontend
	latest := d.killAt - (d.schedule.GoAway+d.schedule.forceClose)/2
	if f.net.HasBacklog() && f.loop.Now() < latest {
		f.loop.ScheduleAt(f.loop.Now()+acceptCheckInterval, d.closeListeners)
		return
	}
	f.net.CloseListeners()
	d.checkDrained()
}

// checkDrained calls done once all connections are closed and the other front ends are drained, or when it is
// time for the process to exit. Until then it schedules itself again, and closes all connections when it is
// time for forceClose.
func (d *drain) checkDrained() {
	f := d.frontend
	now := f.loop.Now()
	allClosed := d.allAccepted && len(f.connections) == 0 && d.othersDrained()
	if allClosed || now >= d.killAt-d.schedule.exit {
		d.done(d.forceClosed)
		return
	}
	// A connection that was accepted, and its first request, may still be in the queue of the event loop. They
	// are handled before the check that is posted here.
	if !d.allAccepted && f.net.AllAccepted() {
		d.allAccepted = true
		f.loop.Post(d.checkDrained)
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
	f.loop.ScheduleAt(min(now+interval, next), d.checkDrained)
}

// closeAll closes all connections. After the first call that found any, it does nothing.
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
