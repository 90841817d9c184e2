package amqp

import (
	"lanewheel/internal/amqp/delivery"
)

// scheduleRetry retries a message that the server has rejected after the delay of its disposition. The message stays in
// flight until then.
func (c *Consumer) scheduleRetry(pending *pendingMessage, disposition delivery.Disposition) {
	c.waiting[pending] = true
	c.ScheduleAt(c.Now()+disposition.Delay, func() {
		if !c.waiting[pending] {
			return // settled by the drain
		}
		delete(c.waiting, pending)
		if disposition.Action == delivery.Resubmit {
			c.resubmit(pending)
			return
		}
		c.settle(pending, nil, disposition, "")
	})
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
	again := &pendingMessage{consumer: c, queue: pending.queue, message: pending.message}
	again.message.priorAttempts = c.settlementMessage(pending.queue, &pending.message).PriorAttempts + 1
	c.submit(again)
}

// settleWaiting settles the messages that wait for a retry, because the consumer is draining.
func (c *Consumer) settleWaiting() {
	for pending := range c.waiting {
		delete(c.waiting, pending)
		c.settle(pending, nil, c.decideDisposition(pending, delivery.Drained, 0), "")
	}
}
