package amqp

import (
	"time"
)

// ackPaceInterval is how often paced acks are sent: several at a time, as each wake-up costs as much as a message.
const ackPaceInterval = 10 * time.Millisecond

// paceAck delays the ack of a message that was not executed, at most Config.UnstartedRate a second. A flood of such
// messages, as fast as broker and server can pass them, would leave no time for callers who wait on a connection. Each
// is replied to at once; but the broker delivers more only as they are acked.
func (c *Consumer) paceAck(ack func()) {
	c.pacedAcks = append(c.pacedAcks, ack)
	if len(c.pacedAcks) == 1 {
		c.ScheduleAt(c.Now()+ackPaceInterval, c.releasePacedAcks)
	}
}

func (c *Consumer) releasePacedAcks() {
	perInterval := max(1, int(ackPaceInterval.Seconds()*float64(c.config.UnstartedRate)))
	released := min(len(c.pacedAcks), perInterval)
	if c.draining {
		released = len(c.pacedAcks)
	}
	for _, ack := range c.pacedAcks[:released] {
		ack()
	}
	c.pacedAcks = append(c.pacedAcks[:0], c.pacedAcks[released:]...)
	if len(c.pacedAcks) > 0 {
		c.ScheduleAt(c.Now()+ackPaceInterval, c.releasePacedAcks)
	}
}
