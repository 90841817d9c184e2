package amqp

import (
	"lanewheel/internal/amqp/delivery"
)

// scheduleRetry retries a message that the server has rejected after the delay of its disposition. The message stays in
// flight until then. It keeps its place in its queue's window during its first wait here only, which is as long as that
// of a message that is returned.
func (c *Consumer) scheduleRetry(pending *pendingMessage, disposition delivery.Disposition) {
	c.waiting[pending] = true
	if pending.resubmitted {
		c.flow.RecordWaiting(pending.queue.Name)
	}
	c.ScheduleAt(c.Now()+disposition.Delay, func() {
		if !c.waiting[pending] {
			return // settled by the drain
		}
		c.endWait(pending)
		if disposition.Action == delivery.Resubmit {
			c.resubmit(pending)
			return
		}
		c.settle(pending, nil, disposition, "")
	})
}

func (c *Consumer) endWait(pending *pendingMessage) {
	delete(c.waiting, pending)
	if pending.resubmitted {
		c.flow.RecordWaited(pending.queue.Name)
	}
}

// resubmit submits a message to the server again. If its deliveries were lost with their channel, the broker has taken
// the message back, and it is no longer this consumer's.
func (c *Consumer) resubmit(pending *pendingMessage) {
	id := pending.message.id
	if !c.deduplicator.HasDeliveries(id) {
		c.settle(pending, nil, delivery.Disposition{Action: delivery.Requeue}, "")
		return
	}
	c.counters.events[eventResubmitted]++
	again := &pendingMessage{consumer: c, queue: pending.queue, message: pending.message, resubmitted: true}
	again.message.priorAttempts = c.settlementMessage(&pending.message).PriorAttempts + 1
	c.submit(again)
}

// settleWaiting settles the messages that wait for a retry, because the consumer is draining.
func (c *Consumer) settleWaiting() {
	for pending := range c.waiting {
		c.endWait(pending)
		c.settle(pending, nil, c.decideDisposition(pending, delivery.Drained, 0), "")
	}
}
