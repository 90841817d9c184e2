package gossip

import (
	"log/slog"
	"time"
)

const (
	// joinInterval is how often the table is asked for an address to call.
	joinInterval = time.Second
	// While no other member is known it is asked sooner, jittered so that many that start at once do not call at once.
	minIsolatedJoinInterval = 100 * time.Millisecond
	maxIsolatedJoinInterval = 500 * time.Millisecond
)

// joinPeriodically has an address called that may belong to a part of the fleet that does not know of us.
func (a *Agent) joinPeriodically() {
	if a.HasQuit() {
		return
	}
	addr, due := a.table.NextJoinAddr(a.Now(), a.random.Float64)
	if due && !a.joining && !a.draining && !a.fenced {
		a.joining = true
		a.joinAddrs <- addr // never blocks: one call is under way at most
	}
	interval := joinInterval
	if a.table.View().Len() == 0 {
		spread := float64(maxIsolatedJoinInterval - minIsolatedJoinInterval)
		interval = minIsolatedJoinInterval + time.Duration(a.random.Float64()*spread)
	}
	a.ScheduleAt(a.Now()+interval, a.joinPeriodically)
}

// runJoins is the one goroutine that calls others; a call may block for some seconds.
func (a *Agent) runJoins() {
	for {
		select {
		case <-a.done:
			return
		case addr := <-a.joinAddrs:
			joined, err := a.memberlist.Join([]string{addr})
			a.Post(func() { a.recordJoin(addr, joined > 0, err) })
		}
	}
}

func (a *Agent) recordJoin(addr string, joined bool, err error) {
	const joinFailedMessage = "join failed"
	a.joining = false
	a.table.RecordJoin(addr, joined, a.Now(), a.random.Float64)
	if joined {
		a.table.ObserveAck(a.Now())
		a.table.ObserveSender(hostOf(addr))
	} else if a.logSampler.Allow(joinFailedMessage, a.WallTime()) {
		slog.Info(joinFailedMessage, "addr", addr, "err", err)
	}
}
