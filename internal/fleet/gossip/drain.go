package gossip

import "time"

// leaveLeadTime is how long before the end of a drain the fleet is left: the news takes some rounds of gossip.
const leaveLeadTime = 500 * time.Millisecond

// Drain publishes at once that the process drains, and leaves the fleet shortly before the timeout is over. Any
// goroutine may call it.
func (a *Agent) Drain(timeout time.Duration) {
	a.Post(func() {
		if a.draining {
			return
		}
		a.draining = true
		a.process.Status(func(status ProcessStatus) {
			a.Post(func() { a.broadcastHeartbeat(status) })
		})
		a.ScheduleAt(a.Now()+max(0, timeout-leaveLeadTime), func() {
			go a.leaveFleet(min(timeout, leaveLeadTime) / 2)
		})
	})
}

// Drained reports whether the fleet has been left. Any goroutine may call it.
func (a *Agent) Drained() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// leaveFleet leaves the fleet and ends the agent. It blocks.
func (a *Agent) leaveFleet(timeout time.Duration) {
	a.leaveMemberlist(timeout)
	a.Post(func() {
		if a.HasQuit() {
			return
		}
		a.Quit()
		close(a.done)
	})
}

// leaveMemberlist tells others that we leave, for as long as the timeout, and ends the gossip. It blocks.
func (a *Agent) leaveMemberlist(timeout time.Duration) {
	a.leaveOnce.Do(func() {
		// Whoever does not hear of it finds out by its failure detector.
		_ = a.memberlist.Leave(timeout)
		_ = a.memberlist.Shutdown()
	})
}
