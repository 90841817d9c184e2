package fleetcommands

import (
	"sync/atomic"
	"time"

	"lanewheel/internal/eventloop"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/forward"
	"lanewheel/internal/membership"
)

// viewDelay is the time for which views are collected before the latest one is passed on. Views arrive dozens of times
// per second, and the delay is much shorter than the age of the information in them.
const viewDelay = 100 * time.Millisecond

// subscribe makes the event loop call update with the latest view, at most once per viewDelay.
func subscribe(agent *gossip.Agent, eventLoop *eventloop.Loop, update func(*membership.View)) {
	var scheduled atomic.Bool
	agent.Subscribe(func(*membership.View) {
		if !scheduled.CompareAndSwap(false, true) {
			return
		}
		eventLoop.Post(func() {
			eventLoop.ScheduleAt(eventLoop.Now()+viewDelay, func() {
				scheduled.Store(false)
				update(agent.View())
			})
		})
	})
}

// probeFunc returns a function that queries another member's load through the agent.
func probeFunc(agent *gossip.Agent) forward.ProbeFunc {
	return func(name membership.Name, report func(float64, time.Duration)) {
		agent.Post(func() { agent.QueryLoad(name, report) })
	}
}
