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
	// minReopenDelay and maxReopenDelay are the shortest and the longest delay before a closed channel is reopened.
	minReopenDelay = time.Second
	maxReopenDelay = 30 * time.Second
)

// queueChannel is the channel on which one queue is consumed. Each opened channel has a new id, because a delivery can
// be settled only on the channel that received it. A queueChannel is owned by the consumer's event loop. The session's
// writer uses only its constant fields and the clientChannel that the loop passes to it.
type queueChannel struct {
	id             uint64
	queue          *Queue
	clientChannel  *client.Channel // nil while the channel is being opened
	prefetch       int             // value last sent to the broker; 0: the queue is not consumed
	targetPrefetch int
	consumerTag    string
	acks           delivery.AckTracker
	reopenDelay    time.Duration
}

// openChannel opens a new channel for a queue after a delay.
func (s *session) openChannel(queue *Queue, delay time.Duration) {
	s.consumer.lastID++
	c := &queueChannel{
		id:             s.consumer.lastID,
		queue:          queue,
		targetPrefetch: s.consumer.flow.Limit(queue.Name),
		reopenDelay:    delay,
	}
	s.channels[queue.Name] = c
	s.consumer.ScheduleAt(s.consumer.Now()+delay, func() {
		if s.ended || s.closing {
			return
		}
		s.enqueue(func() error { return s.openClientChannel(c) })
	})
}

// openClientChannel opens the channel at the broker. It is called by the writer.
func (s *session) openClientChannel(c *queueChannel) error {
	clientChannel, err := s.connection.Channel()
	if err != nil {
		return err
	}
	closed := clientChannel.NotifyClose(make(chan *client.Error, 1))
	cancellations := clientChannel.NotifyCancel(make(chan string, maxPendingCancellations))
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
		c.clientChannel = clientChannel
		s.setPrefetch(c.queue.Name, c.targetPrefetch)
	})
	return nil
}

// handleChannelClosed handles the closing of a channel. err is nil if it was closed without an error.
func (s *session) handleChannelClosed(c *queueChannel, err *client.Error) {
	if err != nil && s.channels[c.queue.Name] == c {
		slog.Warn("queue channel closed by broker",
			"queue", string(c.queue.Name),
			"code", string(amqpCode(err)),
			"err", truncateForLog(err.Reason))
	}
	s.reopenChannel(c)
}

// reopenChannel replaces a channel that was closed or whose consumer was canceled by the broker. The broker redelivers
// the messages that were not settled on it. The delay doubles with each reopening on the same connection, for example
// while the queue is missing.
func (s *session) reopenChannel(c *queueChannel) {
	name := c.queue.Name
	if s.ended || s.closing || s.channels[name] != c {
		return
	}
	s.consumer.deduplicator.ForgetChannel(c.id)
	s.consumer.flow.ResetInFlight(name)
	if c.clientChannel != nil {
		s.enqueue(c.clientChannel.Close)
	}
	s.openChannel(c.queue, min(max(2*c.reopenDelay, minReopenDelay), maxReopenDelay))
}

// setPrefetch sets how many messages of a queue may be unsettled. With 0 the queue is not consumed. A small change is
// not sent to the broker. While the channel is being opened, the value is only stored.
func (s *session) setPrefetch(name delivery.QueueName, target int) {
	c := s.channels[name]
	if c == nil {
		return
	}
	c.targetPrefetch = target
	previous := c.prefetch
	if c.clientChannel == nil || s.closing || target == previous || isSmallChange(previous, target) {
		return
	}
	c.prefetch = target
	clientChannel := c.clientChannel
	switch {
	case target == 0:
		tag := c.consumerTag
		s.enqueue(func() error { return clientChannel.Cancel(tag, false) })
	case previous > 0:
		s.enqueue(func() error { return clientChannel.Qos(target, 0, true) })
	default:
		s.consumer.lastID++
		c.consumerTag = "lanewheel-" + strconv.FormatUint(s.consumer.lastID, 10)
		tag := c.consumerTag
		s.enqueue(func() error { return s.consume(c, clientChannel, tag, target) })
	}
}

// isSmallChange reports whether two limits above 0 differ by less than a tenth of the higher one. Such a difference
// does not justify a round trip.
func isSmallChange(previous, target int) bool {
	return previous > 0 && target > 0 && target*10 > previous*9 && target*9 < previous*10
}

// consume starts to consume a queue. It is called by the writer.
func (s *session) consume(c *queueChannel, clientChannel *client.Channel, tag string, prefetch int) error {
	if err := clientChannel.Qos(prefetch, 0, true); err != nil {
		return err
	}
	deliveries, err := clientChannel.Consume(string(c.queue.Name), tag, false, false, false, false, nil)
	if err != nil {
		return err
	}
	go s.readDeliveries(c, deliveries)
	return nil
}

// readDeliveries reads the deliveries of one consumer on its own goroutine until the consumer is canceled. It uses only
// the constant fields of the channel.
func (s *session) readDeliveries(c *queueChannel, deliveries <-chan client.Delivery) {
	for incoming := range deliveries {
		message := c.queue.Mapping.read(c.queue.Name, &incoming, placeholderDefect(incoming.Body), time.Now())
		tag := delivery.Tag{ChannelID: c.id, Number: incoming.DeliveryTag}
		if message.defect == badHeader { // the properties were not read, so the message has no id of its own
			message.id = delivery.MessageID(fmt.Sprintf("unread:%d:%d", tag.ChannelID, tag.Number))
		}
		redelivered := incoming.Redelivered
		s.consumer.Post(func() { s.consumer.handleDelivery(c.queue, message, tag, redelivered) })
	}
}

// channelOf returns the channel that received a delivery, or nil if that channel has been replaced or the session has
// ended.
func (s *session) channelOf(name delivery.QueueName, tag delivery.Tag) *queueChannel {
	if c := s.channels[name]; c != nil && c.id == tag.ChannelID && !s.ended {
		return c
	}
	return nil
}

// trackDelivery records an unsettled delivery of the queue's current channel.
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

// flushAcks sends the acks of all marked deliveries. It is called after each batch of the event loop, so that the acks
// of a batch are combined.
func (s *session) flushAcks() {
	for _, c := range s.channels {
		clientChannel := c.clientChannel
		for _, ack := range c.acks.Flush() {
			s.enqueue(func() error { return clientChannel.Ack(ack.Tag, ack.Multiple) })
		}
	}
}

// returnDelivery settles a delivery without an ack. With delivery.Reject the broker dead-letters the message into the
// retry queue, otherwise it requeues the message for a peer.
func (s *session) returnDelivery(name delivery.QueueName, tag delivery.Tag, action delivery.Action) {
	c := s.channelOf(name, tag)
	if c == nil || !c.acks.Remove(tag.Number) {
		return
	}
	s.consumer.flow.RecordSettlement(name)
	clientChannel := c.clientChannel
	s.enqueue(func() error {
		if action == delivery.Reject {
			return clientChannel.Reject(tag.Number, false)
		}
		return clientChannel.Nack(tag.Number, false, true)
	})
}
