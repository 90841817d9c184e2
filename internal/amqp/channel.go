package amqp

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp/delivery"
)

// channel is a queue's. Its number is one of its own: what was delivered on one channel can't be settled on another.
type channel struct {
	id             uint64
	queue          *Queue
	link           *client.Channel // nil while it is being opened
	prefetch       int             // as last told the broker; 0: it does not consume
	wantedPrefetch int
	consumerTag    string // of its consumer
	acks           delivery.AckTracker
	backoff        time.Duration
}

// openChannel opens a queue's channel after a while; it may fail again and again.
func (s *session) openChannel(queue *Queue, delay time.Duration) {
	s.consumer.lastID++
	c := &channel{id: s.consumer.lastID, queue: queue, wantedPrefetch: s.consumer.flow.Limit(queue.Name), backoff: delay}
	s.channels[queue.Name] = c
	s.consumer.ScheduleAt(s.consumer.Now()+delay, func() {
		if s.ended || s.closing {
			return
		}
		s.enqueue(func() error {
			ch, err := s.connection.Channel()
			if err != nil {
				return err
			}
			closed := ch.NotifyClose(make(chan *client.Error, 1))
			cancelled := ch.NotifyCancel(make(chan string, 8))
			go func() {
				for range cancelled {
					s.consumer.Post(func() {
						slog.Warn("queue", "queue", queue.Name, "code", "cancelled")
						s.reopenChannel(c)
					})
				}
			}()
			go func() {
				e := <-closed
				s.consumer.Post(func() {
					if e != nil && s.channels[queue.Name] == c {
						slog.Warn("queue", "queue", queue.Name, "code", "amqp-"+strconv.Itoa(e.Code), "err", truncate(e.Reason))
					}
					s.reopenChannel(c)
				})
			}()
			s.consumer.Post(func() {
				c.link = ch
				s.setPrefetch(queue.Name, c.wantedPrefetch)
			})
			return nil
		})
	})
}

// reopenChannel replaces a channel that is gone, or whose consumer the broker took away; its deliveries come again.
func (s *session) reopenChannel(c *channel) {
	name := c.queue.Name
	if s.ended || s.closing || s.channels[name] != c {
		return
	}
	s.consumer.deduplicator.ChannelClosed(c.id)
	s.consumer.flow.Disconnected(name)
	if old := c.link; old != nil {
		s.enqueue(old.Close)
	}
	// A queue that is gone is asked for again after a second, then less and less often.
	s.openChannel(c.queue, min(max(2*c.backoff, time.Second), 30*time.Second))
}

// setPrefetch tells the broker how many messages of a queue may be unsettled; none, and the consumer is cancelled.
func (s *session) setPrefetch(name delivery.QueueName, prefetch int) {
	c := s.channels[name]
	if c == nil {
		return
	}
	c.wantedPrefetch = prefetch
	if c.link == nil || s.closing || prefetch == c.prefetch {
		return
	}
	// Small changes of a large limit are not worth a round trip.
	if previous := c.prefetch; previous > 0 && prefetch > 0 && prefetch*10 > previous*9 && prefetch*9 < previous*10 {
		return
	}
	previous, ch := c.prefetch, c.link
	c.prefetch = prefetch
	switch {
	case prefetch == 0:
		tag := c.consumerTag
		s.enqueue(func() error { return ch.Cancel(tag, false) })
	case previous > 0:
		s.enqueue(func() error { return ch.Qos(prefetch, 0, true) })
	default:
		s.consumer.lastID++
		c.consumerTag = "lanewheel-" + strconv.FormatUint(s.consumer.lastID, 10)
		tag := c.consumerTag
		s.enqueue(func() error {
			if err := ch.Qos(prefetch, 0, true); err != nil {
				return err
			}
			from, err := ch.Consume(string(name), tag, false, false, false, false, nil)
			if err == nil {
				go s.readDeliveries(c, from)
			}
			return err
		})
	}
}

// readDeliveries reads one consumer's deliveries, beside the loop.
func (s *session) readDeliveries(c *channel, deliveries <-chan client.Delivery) {
	for incoming := range deliveries {
		message := c.queue.Mapping.read(c.queue.Name, &incoming, placeholderReason(incoming.Body), time.Now())
		tag := delivery.Tag{ChannelID: c.id, Number: incoming.DeliveryTag}
		if message.defect == badHeader { // nothing of it was read, so nothing can tell it from another
			message.id = delivery.MessageID(fmt.Sprintf("unread:%d:%d", tag.ChannelID, tag.Number))
		}
		redelivered := incoming.Redelivered
		s.consumer.Post(func() { s.consumer.handleDelivery(c.queue, message, tag, redelivered) })
	}
}

// channelOf gives the channel on which a delivery came, nil if it is gone.
func (s *session) channelOf(name delivery.QueueName, tag delivery.Tag) *channel {
	if c := s.channels[name]; c != nil && c.id == tag.ChannelID && !s.ended {
		return c
	}
	return nil
}

func (s *session) trackDelivery(name delivery.QueueName, tag delivery.Tag) {
	if c := s.channelOf(name, tag); c != nil {
		c.acks.Received(tag.Number)
	}
}

// ack marks a delivery; the batch's acks go together.
func (s *session) ack(name delivery.QueueName, tag delivery.Tag) {
	if c := s.channelOf(name, tag); c != nil {
		c.acks.Acked(tag.Number)
		s.consumer.flow.Settled(name)
	}
}

// flushAcks sends the acks of a batch.
func (s *session) flushAcks() {
	for _, c := range s.channels {
		for _, a := range c.acks.Flush() {
			c.sendAck(s, a)
		}
	}
}

func (c *channel) sendAck(s *session, ack delivery.AckRange) {
	ch := c.link
	s.enqueue(func() error { return ch.Ack(ack.Tag, ack.Multiple) })
}

func (s *session) requeue(name delivery.QueueName, tag delivery.Tag) {
	if c := s.channelOf(name, tag); c != nil && c.acks.Remove(tag.Number) {
		s.consumer.flow.Settled(name)
		s.enqueue(func() error { return c.link.Nack(tag.Number, false, true) })
	}
}

func (s *session) reject(name delivery.QueueName, tag delivery.Tag) {
	if c := s.channelOf(name, tag); c != nil && c.acks.Remove(tag.Number) {
		s.consumer.flow.Settled(name)
		s.enqueue(func() error { return c.link.Reject(tag.Number, false) })
	}
}
