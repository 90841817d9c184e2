package gossip

import (
	"log/slog"
	"time"
)

// joinPeriodically calls, once a second, whoever may be a part of the fleet that does not know of us.
func (p *Agent) joinPeriodically() {
	if p.HasQuit() {
		return
	}
	if addr, due := p.table.NextJoinAddr(p.Now(), p.random.Float64); due && !p.joining && !p.draining && !p.fenced {
		p.joining = true
		p.joinAddrs <- addr // there is room: one alone is under way
	}
	pause := time.Second
	if p.table.View().Len() == 0 { // alone: soon, and not all at the same moment
		pause = time.Duration((0.1 + 0.4*p.random.Float64()) * float64(time.Second))
	}
	p.ScheduleAt(p.Now()+pause, p.joinPeriodically)
}

// runJoins is the one goroutine that calls.
func (p *Agent) runJoins() {
	for {
		select {
		case <-p.done:
			return
		case addr := <-p.joinAddrs:
			joined, err := p.memberlist.Join([]string{addr})
			p.Post(func() {
				p.joining = false
				p.table.RecordJoin(addr, joined > 0, p.Now(), p.random.Float64)
				if joined > 0 {
					p.table.ObserveAck(p.Now())
					p.table.ObserveSender(hostOf(addr))
				} else if p.logSampler.Allow("call-failed", p.WallTime()) {
					slog.Info("call-failed", "addr", addr, "err", err)
				}
			})
		}
	}
}
