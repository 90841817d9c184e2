package amqp

import (
	"time"
)

// ackPaceInterval is how often paced acks go out: some at a time, as each waking costs as much as a message.
const ackPaceInterval = 10 * time.Millisecond

// paceAck acks a message that never became an op. Danger: a flood of such, as fast as broker and core can go, leaves no time for the
// callers who wait on a connection. Each is answered at once; the broker sends more only as they are acked.
func (p *Consumer) paceAck(step func()) {
	p.pacedAcks = append(p.pacedAcks, step)
	if len(p.pacedAcks) == 1 {
		p.ScheduleAt(p.Now()+ackPaceInterval, p.releasePacedAcks)
	}
}

func (p *Consumer) releasePacedAcks() {
	n := min(len(p.pacedAcks), max(1, int(ackPaceInterval.Seconds()*float64(p.config.UnstartedRate))))
	if p.draining {
		n = len(p.pacedAcks)
	}
	for _, step := range p.pacedAcks[:n] {
		step()
	}
	p.pacedAcks = append(p.pacedAcks[:0], p.pacedAcks[n:]...)
	if len(p.pacedAcks) > 0 {
		p.ScheduleAt(p.Now()+ackPaceInterval, p.releasePacedAcks)
	}
}
