package amqp

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp/delivery"
)

// session is one connection to a broker, with a channel a queue and one for answers. It belongs to the part's loop; its writer,
// one goroutine, does what blocks, in order.
type session struct {
	consumer     *Consumer
	id           uint64
	url          string
	connection   *client.Connection
	netConn      net.Conn
	replyChannel *client.Channel
	channels     map[delivery.QueueName]*channel
	blocked      bool
	closing      bool
	closeCode    string // the code of our own close
	ended        bool
	onClosed     func() // once it is closed

	mu          sync.Mutex
	steps       []func() error
	wake        *sync.Cond
	stopped     bool
	busy        bool
	unconfirmed int // published and not confirmed, or about to be
	onConfirm   map[uint64]func()
}

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

// dialTimeout bounds how long a broker is tried: some round trips of a poor line.
const dialTimeout = 5 * time.Second

// hostPort is an address without the login that it may hold.
func hostPort(url string) string {
	parsed, err := client.ParseURI(url)
	if err != nil {
		return "?"
	}
	return net.JoinHostPort(parsed.Host, strconv.Itoa(parsed.Port))
}

func sortedNames(m map[string]uint64) []string { return slices.Sorted(maps.Keys(m)) }

// openSession dials beside the loop; done is called on it, with a code if it did not come about.
func (p *Consumer) openSession(url string, id uint64, done func(s *session, code string)) {
	go func() {
		s := &session{consumer: p, id: id, url: url, channels: map[delivery.QueueName]*channel{}, onConfirm: map[uint64]func(){}}
		s.wake = sync.NewCond(&s.mu)
		err := s.dial()
		p.Post(func() {
			if err != nil {
				if s.netConn != nil {
					s.netConn.Close()
				}
				done(nil, errorCode(err))
				return
			}
			go s.writeLoop()
			done(s, "")
			if p.session != s {
				return
			}
			for _, q := range p.config.Queues {
				s.openChannel(p.queues[q.Name], 0)
			}
		})
	}()
}

// errorCode is one word for why a broker could not be used.
func errorCode(err error) string {
	var refused *client.Error
	var timeout net.Error
	switch {
	case errors.Is(err, client.ErrCredentials), errors.As(err, &refused) && refused.Code == client.AccessRefused:
		return "login-refused"
	case errors.Is(err, client.ErrVhost):
		return "vhost"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.As(err, &refused):
		return "amqp-" + strconv.Itoa(refused.Code)
	}
	return "unreachable"
}

func (s *session) dial() error {
	parsed, err := client.ParseURI(s.url)
	if err != nil {
		return err
	}
	if user, password, found := strings.Cut(s.consumer.config.Login, ":"); found {
		parsed.Username, parsed.Password = user, password
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", net.JoinHostPort(parsed.Host, strconv.Itoa(parsed.Port)))
	if err != nil {
		return err
	}
	s.netConn = conn
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if parsed.Scheme == "amqps" {
		config := &tls.Config{}
		if s.consumer.config.TLS != nil {
			config = s.consumer.config.TLS.Clone()
		}
		if config.ServerName == "" {
			config.ServerName = parsed.Host
		}
		conn = tls.Client(conn, config)
	}
	maxBody := 0
	for _, q := range s.consumer.config.Queues {
		maxBody = max(maxBody, q.Mapping.MaxBodyBytes)
	}
	const maxHeaderBytes = 8 << 10 // properties and some dozen headers
	s.connection, err = client.Open(newFrameFilter(conn, maxHeaderBytes, maxBody), client.Config{SASL: []client.Authentication{parsed.PlainAuth()},
		Vhost: parsed.Vhost, Heartbeat: s.consumer.config.HeartbeatInterval, Locale: "en_US", Properties: client.Table{"product": "lanewheel"}})
	if err != nil {
		return err
	}
	_ = s.netConn.SetDeadline(time.Time{})
	if s.replyChannel, err = s.connection.Channel(); err != nil {
		return err
	}
	if err = s.replyChannel.Confirm(false); err != nil {
		return err
	}
	closed := s.connection.NotifyClose(make(chan *client.Error, 1))
	blocked := s.connection.NotifyBlocked(make(chan client.Blocking, 8))
	confirmed := s.replyChannel.NotifyPublish(make(chan client.Confirmation, 1024))
	outClosed := s.replyChannel.NotifyClose(make(chan *client.Error, 1))
	go func() {
		for config := range confirmed {
			s.handleConfirmation(config)
		}
	}()
	go func() {
		for b := range blocked {
			s.consumer.Post(func() {
				s.blocked = b.Active
				slog.Warn("broker", "addr", hostPort(s.url), "code", map[bool]string{true: "blocked", false: "unblocked"}[b.Active])
			})
		}
	}()
	go func() {
		code := "closed"
		select {
		case e := <-closed:
			if e != nil {
				code = "amqp-" + strconv.Itoa(e.Code)
			}
		case e := <-outClosed:
			if e != nil {
				code = "answers-amqp-" + strconv.Itoa(e.Code)
			}
			s.netConn.Close()
		}
		s.consumer.Post(func() { s.handleClosed(code) })
	}()
	return nil
}

// enqueue has the writer do something; an error of it means that channel or connection is gone, which is told elsewhere. What
// waits is bounded by what is in hand: some steps for each message.
func (s *session) enqueue(step func() error) {
	s.mu.Lock()
	s.steps = append(s.steps, step)
	s.mu.Unlock()
	s.wake.Signal()
}

func (s *session) writeLoop() {
	for {
		s.mu.Lock()
		s.busy = false
		for len(s.steps) == 0 && !s.stopped {
			s.wake.Wait()
		}
		if s.stopped {
			s.mu.Unlock()
			return
		}
		work := s.steps
		s.steps, s.busy = nil, true
		s.mu.Unlock()
		for _, step := range work {
			_ = step()
		}
	}
}

// idle tells whether nothing is on its way out.
func (s *session) idle() bool {
	s.flushAcks()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.steps) == 0 && !s.busy && s.unconfirmed == 0
}

// handleClosed hears that the connection is gone.
func (s *session) handleClosed(code string) {
	if s.ended {
		return
	}
	s.ended = true
	if s.closeCode != "" {
		code = s.closeCode
	}
	s.netConn.Close()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.wake.Broadcast()
	for _, c := range s.channels {
		s.consumer.deduplicator.ChannelClosed(c.id)
	}
	slog.Info("end", "party", "broker", "code", code, "addr", hostPort(s.url), "connection", s.id)
	s.consumer.handleDisconnect(s, code)
	if s.onClosed != nil {
		s.onClosed()
	}
}

// close ends the connection in order: consumers, channels, connection. A broker that does not answer is left.
func (s *session) close(code string) {
	if s.closing || s.ended {
		return
	}
	s.closing, s.closeCode = true, code
	for _, c := range s.channels {
		c.wantedPrefetch = 0
	}
	go func() {
		gone := make(chan struct{})
		go func() {
			for _, c := range s.channels {
				if c.link != nil {
					_ = c.link.Close()
				}
			}
			_ = s.replyChannel.Close()
			_ = s.connection.Close()
			close(gone)
		}()
		const closeTimeout = 200 * time.Millisecond // some round trips
		select {
		case <-gone:
		case <-time.After(closeTimeout):
		}
		s.netConn.Close()
		s.consumer.Post(func() { s.handleClosed(code) })
	}()
}

// whenClosed calls then once the session has ended.
func (s *session) whenClosed(then func()) {
	if s.ended {
		then()
		return
	}
	s.onClosed = then
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

// publishReply publishes an answer; then is called once it is confirmed.
func (s *session) publishReply(answer *reply, onConfirmed func()) {
	headers := client.Table{"outcome": answer.outcome}
	if answer.reason != "" {
		headers["why"] = answer.reason
	}
	// Its id is the message's: whoever gets an answer twice, since nobody could tell whether the first one arrived, knows it again.
	s.publish(answer.replyTo, client.Publishing{MessageId: "answer:" + answer.messageID, CorrelationId: answer.correlationID, Type: answer.outcome, Headers: headers, Body: answer.body, Timestamp: time.Now()}, onConfirmed)
}

// publishDeadLetter copies a message to its queue's dead-letter queue, with the reason.
func (s *session) publishDeadLetter(pending *pendingMessage, outcome, reason string, onConfirmed func()) {
	headers := client.Table{"outcome": outcome, "queue": string(pending.queue.Name), "attempt": int64(pending.message.attempt)}
	if reason != "" {
		headers["why"] = reason
	}
	s.publish(pending.queue.DeadLetterQueue, client.Publishing{MessageId: string(pending.message.id), CorrelationId: pending.message.correlationID, ReplyTo: pending.message.replyTo,
		Type: pending.message.request.Class, Headers: headers, Body: pending.message.request.Body, DeliveryMode: client.Persistent, Timestamp: time.Now()}, onConfirmed)
}

func (s *session) publish(key string, message client.Publishing, onConfirmed func()) {
	s.mu.Lock()
	s.unconfirmed++
	s.mu.Unlock()
	s.enqueue(func() error {
		s.mu.Lock()
		s.onConfirm[s.replyChannel.GetNextPublishSeqNo()] = onConfirmed
		s.mu.Unlock()
		return s.replyChannel.Publish("", key, false, false, message)
	})
}

// handleConfirmation hears from the broker that it has what was published, or has not: then the message stays unsettled and comes again
// with its channel.
func (s *session) handleConfirmation(confirmation client.Confirmation) {
	s.mu.Lock()
	onConfirmed := s.onConfirm[confirmation.DeliveryTag]
	delete(s.onConfirm, confirmation.DeliveryTag)
	s.unconfirmed--
	s.mu.Unlock()
	if onConfirmed != nil && confirmation.Ack {
		s.consumer.Post(onConfirmed)
	}
}
