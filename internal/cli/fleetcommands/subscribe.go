package fleetcommands

import (
	"sync/atomic"
	"time"

	"lanewheel/internal/eventloop"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/forward"
	"lanewheel/internal/membership"
)

// viewDelay is how long views are gathered before the latest one is handed on: they come by the dozen a second, and
// this is far less than they are old.
const viewDelay = 100 * time.Millisecond

// subscribe has update called with the latest view on an event loop, at most once every viewDelay.
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

// probeFunc asks other members for their load.
func probeFunc(agent *gossip.Agent) forward.ProbeFunc {
	return func(name membership.Name, report func(float64, time.Duration)) {
		agent.Post(func() { agent.QueryLoad(name, report) })
	}
}
