package gossip

import (
	"log/slog"
	"time"
)

const (
	// joinInterval is the interval at which the table is asked for an address to join.
	joinInterval = time.Second
	// While no other member is known, the interval is shorter and chosen at random within these bounds, so that
	// processes that start at the same time do not all attempt a join at the same time.
	minIsolatedJoinInterval = 100 * time.Millisecond
	maxIsolatedJoinInterval = 500 * time.Millisecond
)

// joinPeriodically passes to runJoins the addresses of members that may belong to a part of the fleet that does not
// know this process.
func (a *Agent) joinPeriodically() {
	if a.HasQuit() {
		return
	}
	addr, due := a.table.NextJoinAddr(a.Now(), a.random.Float64)
	if due && !a.joining && !a.draining && !a.fenced {
		a.joining = true
		a.joinAddrs <- addr // does not block: at most one join is in progress
	}
	interval := joinInterval
	if a.table.View().Len() == 0 {
		spread := float64(maxIsolatedJoinInterval - minIsolatedJoinInterval)
		interval = minIsolatedJoinInterval + time.Duration(a.random.Float64()*spread)
	}
	a.ScheduleAt(a.Now()+interval, a.joinPeriodically)
}

// runJoins joins other members, one at a time. It runs on a goroutine of its own, as a join may block for some
// seconds.
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
