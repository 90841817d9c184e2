package amqp

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp/delivery"
)

const (
	// minReopenDelay and maxReopenDelay are the first and the longest wait before a channel is opened again.
	minReopenDelay = time.Second
	maxReopenDelay = 30 * time.Second
)

// channel is the channel of one queue. Its id is drawn anew whenever a channel is opened: what was delivered on one
// can't be settled on another. Owned by the consumer's event loop, but for what the writer does with link.
type channel struct {
	id             uint64
	queue          *Queue
	link           *client.Channel // nil while it is being opened
	prefetch       int             // as the broker was last told; 0: it does not consume
	wantedPrefetch int
	consumerTag    string
	acks           delivery.AckTracker
	reopenDelay    time.Duration
}

// openChannel opens a queue's channel after a delay.
func (s *session) openChannel(queue *Queue, delay time.Duration) {
	s.consumer.lastID++
	c := &channel{
		id:             s.consumer.lastID,
		queue:          queue,
		wantedPrefetch: s.consumer.flow.Limit(queue.Name),
		reopenDelay:    delay,
	}
	s.channels[queue.Name] = c
	s.consumer.ScheduleAt(s.consumer.Now()+delay, func() {
		if s.ended || s.closing {
			return
		}
		s.enqueue(func() error { return s.openLink(c) })
	})
}

// openLink opens the channel at the broker. The writer calls it.
func (s *session) openLink(c *channel) error {
	link, err := s.connection.Channel()
	if err != nil {
		return err
	}
	closed := link.NotifyClose(make(chan *client.Error, 1))
	cancellations := link.NotifyCancel(make(chan string, maxPendingCancellations))
	go func() {
		for range cancellations {
			s.consumer.Post(func() {
				slog.Warn("queue consumer canceled by broker", "queue", string(c.queue.Name))
				s.reopenChannel(c)
			})
		}
	}()
	go func() {
		err := <-closed
		s.consumer.Post(func() { s.handleChannelClosed(c, err) })
	}()
	s.consumer.Post(func() {
		c.link = link
		s.setPrefetch(c.queue.Name, c.wantedPrefetch)
	})
	return nil
}

// handleChannelClosed hears that a channel is closed; err is nil if that was in order.
func (s *session) handleChannelClosed(c *channel, err *client.Error) {
	if err != nil && s.channels[c.queue.Name] == c {
		slog.Warn("queue channel closed by broker",
			"queue", string(c.queue.Name),
			"code", string(amqpCode(err)),
			"err", truncate(err.Reason))
	}
	s.reopenChannel(c)
}

// reopenChannel replaces a channel that is gone, or whose consumer the broker canceled; its deliveries come again. A
// queue that is gone is asked for with growing delays.
func (s *session) reopenChannel(c *channel) {
	name := c.queue.Name
	if s.ended || s.closing || s.channels[name] != c {
		return
	}
	s.consumer.deduplicator.ForgetChannel(c.id)
	s.consumer.flow.ResetInFlight(name)
	if c.link != nil {
		s.enqueue(c.link.Close)
	}
	s.openChannel(c.queue, min(max(2*c.reopenDelay, minReopenDelay), maxReopenDelay))
}

// setPrefetch tells the broker how many messages of a queue may be unsettled; at 0 the queue is not consumed from.
func (s *session) setPrefetch(name delivery.QueueName, wanted int) {
	c := s.channels[name]
	if c == nil {
		return
	}
	c.wantedPrefetch = wanted
	previous := c.prefetch
	if c.link == nil || s.closing || wanted == previous || isSmallChange(previous, wanted) {
		return
	}
	c.prefetch = wanted
	link := c.link
	switch {
	case wanted == 0:
		tag := c.consumerTag
		s.enqueue(func() error { return link.Cancel(tag, false) })
	case previous > 0:
		s.enqueue(func() error { return link.Qos(wanted, 0, true) })
	default:
		s.consumer.lastID++
		c.consumerTag = "lanewheel-" + strconv.FormatUint(s.consumer.lastID, 10)
		tag := c.consumerTag
		s.enqueue(func() error { return s.consume(c, link, tag, wanted) })
	}
}

// isSmallChange tells whether a limit above 0 changes by less than a tenth, which is not worth a round trip.
func isSmallChange(previous, wanted int) bool {
	return previous > 0 && wanted > 0 && wanted*10 > previous*9 && wanted*9 < previous*10
}

// consume begins to consume a queue. The writer calls it.
func (s *session) consume(c *channel, link *client.Channel, tag string, prefetch int) error {
	if err := link.Qos(prefetch, 0, true); err != nil {
		return err
	}
	deliveries, err := link.Consume(string(c.queue.Name), tag, false, false, false, false, nil)
	if err != nil {
		return err
	}
	go s.readDeliveries(c, deliveries)
	return nil
}

// readDeliveries reads one consumer's deliveries, on a goroutine of its own, until the consumer is canceled. It uses
// only what is constant in the channel.
func (s *session) readDeliveries(c *channel, deliveries <-chan client.Delivery) {
	for incoming := range deliveries {
		message := c.queue.Mapping.read(c.queue.Name, &incoming, placeholderDefect(incoming.Body), time.Now())
		tag := delivery.Tag{ChannelID: c.id, Number: incoming.DeliveryTag}
		if message.defect == badHeader { // nothing of it was read, so nothing can tell it from another
			message.id = delivery.MessageID(fmt.Sprintf("unread:%d:%d", tag.ChannelID, tag.Number))
		}
		redelivered := incoming.Redelivered
		s.consumer.Post(func() { s.consumer.handleDelivery(c.queue, message, tag, redelivered) })
	}
}

// channelOf returns the channel on which a delivery came, nil if it is gone.
func (s *session) channelOf(name delivery.QueueName, tag delivery.Tag) *channel {
	if c := s.channels[name]; c != nil && c.id == tag.ChannelID && !s.ended {
		return c
	}
	return nil
}

func (s *session) trackDelivery(name delivery.QueueName, tag delivery.Tag) {
	if c := s.channelOf(name, tag); c != nil {
		c.acks.AddDelivery(tag.Number)
	}
}

// ack marks a delivery to be acked by the next flushAcks.
func (s *session) ack(name delivery.QueueName, tag delivery.Tag) {
	if c := s.channelOf(name, tag); c != nil {
		c.acks.MarkAcked(tag.Number)
		s.consumer.flow.RecordSettlement(name)
	}
}

// flushAcks sends the acks that were marked, those of one batch of the event loop together.
func (s *session) flushAcks() {
	for _, c := range s.channels {
		link := c.link
		for _, ack := range c.acks.Flush() {
			s.enqueue(func() error { return link.Ack(ack.Tag, ack.Multiple) })
		}
	}
}

// giveBack settles a delivery without an ack: with delivery.Reject the broker dead-letters it into the retry queue,
// else it returns to its queue, for a peer.
func (s *session) giveBack(name delivery.QueueName, tag delivery.Tag, action delivery.Action) {
	c := s.channelOf(name, tag)
	if c == nil || !c.acks.Remove(tag.Number) {
		return
	}
	s.consumer.flow.RecordSettlement(name)
	link := c.link
	s.enqueue(func() error {
		if action == delivery.Reject {
			return link.Reject(tag.Number, false)
		}
		return link.Nack(tag.Number, false, true)
	})
}
