package amqp

import (
	"time"
)

// ackPaceInterval is the time between two batches of paced acks. Acks are batched because a wake-up of the event loop
// costs as much as a message.
const ackPaceInterval = 10 * time.Millisecond

// paceAck delays the ack of a message that was not executed. At most Config.UnstartedRate of these acks are sent per
// second. Without the limit, such messages could arrive as fast as broker and server can handle them, and leave no time
// for callers that wait on a connection. The replies are not delayed, but the broker delivers further messages only as
// earlier ones are acked.
func (c *Consumer) paceAck(ack func()) {
	c.pacedAcks = append(c.pacedAcks, ack)
	if len(c.pacedAcks) == 1 {
		c.ScheduleAt(c.Now()+ackPaceInterval, c.releasePacedAcks)
	}
}

// releasePacedAcks sends the paced acks of one interval, or all of them while the consumer drains.
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
