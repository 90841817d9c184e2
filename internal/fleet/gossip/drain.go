package gossip

import "time"

// leaveLeadTime is how long before the end of a drain the process leaves the fleet: the leave message needs several
// rounds of gossip to reach all members.
const leaveLeadTime = 500 * time.Millisecond

// Drain announces immediately that the process is draining, and leaves the fleet shortly before timeout has elapsed.
// Any goroutine may call it.
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

// Drained reports whether the agent has left the fleet. Any goroutine may call it.
func (a *Agent) Drained() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// leaveFleet leaves the fleet and stops the agent. It blocks until the process has left.
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

// leaveMemberlist announces to other members, for at most timeout, that this process leaves, and shuts memberlist
// down. It blocks.
func (a *Agent) leaveMemberlist(timeout time.Duration) {
	a.leaveOnce.Do(func() {
		// A member that misses the announcement detects the departure with its failure detector.
		_ = a.memberlist.Leave(timeout)
		_ = a.memberlist.Shutdown()
	})
}
