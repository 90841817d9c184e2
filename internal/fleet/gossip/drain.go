package gossip

import "time"

// Drain is the notice to drain: it is said at once, and the fleet is left shortly before last, a time from now.
func (p *Agent) Drain(timeout time.Duration) {
	p.Post(func() {
		if p.draining {
			return
		}
		p.draining = true
		p.process.Status(func(status ProcessStatus) { p.Post(func() { p.broadcastHeartbeat(status) }) })
		// The word that we left takes some rounds of gossip; half a second of the end is for it.
		const leaveNotice = 500 * time.Millisecond
		p.ScheduleAt(p.Now()+max(0, timeout-leaveNotice), func() { go p.leaveFleet(min(timeout, leaveNotice) / 2) })
	})
}

func (p *Agent) leaveFleet(timeout time.Duration) {
	p.leaveMemberlist(timeout)
	p.Post(func() {
		if p.HasQuit() {
			return
		}
		p.Quit()
		close(p.done)
	})
}

// leaveMemberlist says that we leave, to all that hear it within that time, and ends the gossip.
func (p *Agent) leaveMemberlist(timeout time.Duration) {
	p.leaveOnce.Do(func() {
		_ = p.memberlist.Leave(timeout)
		_ = p.memberlist.Shutdown()
	})
}

// Drained tells whether the fleet has been left.
func (p *Agent) Drained() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
