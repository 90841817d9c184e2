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

	"lanewheel/internal/intake"
)

// session is one connection to a broker, with a channel a queue and one for answers. It belongs to the part's loop; its writer,
// one goroutine, does what blocks, in order.
type session struct {
	p       *Part
	no      uint64
	addr    string
	conn    *client.Connection
	raw     net.Conn
	out     *client.Channel
	chans   map[intake.QueueName]*channel
	blocked bool
	closing bool
	why     string // the code of our own close
	ended   bool
	then    func() // once it is closed

	mu       sync.Mutex
	work     []func() error
	wake     *sync.Cond
	stopped  bool
	busy     bool
	answers  int // published and not confirmed, or about to be
	confirms map[uint64]func()
}

// channel is a queue's. Its number is one of its own: what was delivered on one channel can't be settled on another.
type channel struct {
	no      uint64
	queue   *Queue
	ch      *client.Channel // nil while it is being opened
	limit   int             // as last told the broker; 0: it does not consume
	wanted  int
	tag     string // of its consumer
	acks    intake.Acks
	backoff time.Duration
}

// dialFor bounds how long a broker is tried: some round trips of a poor line.
const dialFor = 5 * time.Second

// host is an address without the login that it may hold.
func host(addr string) string {
	u, err := client.ParseURI(addr)
	if err != nil {
		return "?"
	}
	return net.JoinHostPort(u.Host, strconv.Itoa(u.Port))
}

func sorted(m map[string]uint64) []string { return slices.Sorted(maps.Keys(m)) }

// open dials beside the loop; done is called on it, with a code if it did not come about.
func (p *Part) open(addr string, no uint64, done func(s *session, code string)) {
	go func() {
		s := &session{p: p, no: no, addr: addr, chans: map[intake.QueueName]*channel{}, confirms: map[uint64]func(){}}
		s.wake = sync.NewCond(&s.mu)
		err := s.dial()
		p.Post(func() {
			if err != nil {
				if s.raw != nil {
					s.raw.Close()
				}
				done(nil, codeOf(err))
				return
			}
			go s.write()
			done(s, "")
			if p.session != s {
				return
			}
			for _, q := range p.told.Queues {
				s.openChannel(p.queues[q.Name], 0)
			}
		})
	}()
}

// codeOf is one word for why a broker could not be used.
func codeOf(err error) string {
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
	u, err := client.ParseURI(s.addr)
	if err != nil {
		return err
	}
	if user, password, told := strings.Cut(s.p.told.Login, ":"); told {
		u.Username, u.Password = user, password
	}
	conn, err := (&net.Dialer{Timeout: dialFor}).Dial("tcp", net.JoinHostPort(u.Host, strconv.Itoa(u.Port)))
	if err != nil {
		return err
	}
	s.raw = conn
	_ = conn.SetDeadline(time.Now().Add(dialFor))
	if u.Scheme == "amqps" {
		c := &tls.Config{}
		if s.p.told.TLS != nil {
			c = s.p.told.TLS.Clone()
		}
		if c.ServerName == "" {
			c.ServerName = u.Host
		}
		conn = tls.Client(conn, c)
	}
	longest := 0
	for _, q := range s.p.told.Queues {
		longest = max(longest, q.Mapping.Longest)
	}
	const mostHeader = 8 << 10 // properties and some dozen headers
	s.conn, err = client.Open(newSieve(conn, mostHeader, longest), client.Config{SASL: []client.Authentication{u.PlainAuth()},
		Vhost: u.Vhost, Heartbeat: s.p.told.Heartbeat, Locale: "en_US", Properties: client.Table{"product": "lanewheel"}})
	if err != nil {
		return err
	}
	_ = s.raw.SetDeadline(time.Time{})
	if s.out, err = s.conn.Channel(); err != nil {
		return err
	}
	if err = s.out.Confirm(false); err != nil {
		return err
	}
	closed := s.conn.NotifyClose(make(chan *client.Error, 1))
	blocked := s.conn.NotifyBlocked(make(chan client.Blocking, 8))
	confirmed := s.out.NotifyPublish(make(chan client.Confirmation, 1024))
	outClosed := s.out.NotifyClose(make(chan *client.Error, 1))
	go func() {
		for c := range confirmed {
			s.confirmed(c)
		}
	}()
	go func() {
		for b := range blocked {
			s.p.Post(func() {
				s.blocked = b.Active
				slog.Warn("broker", "addr", host(s.addr), "code", map[bool]string{true: "blocked", false: "unblocked"}[b.Active])
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
			s.raw.Close()
		}
		s.p.Post(func() { s.end(code) })
	}()
	return nil
}

// do has the writer do something; an error of it means that channel or connection is gone, which is told elsewhere. What
// waits is bounded by what is in hand: some steps for each message.
func (s *session) do(step func() error) {
	s.mu.Lock()
	s.work = append(s.work, step)
	s.mu.Unlock()
	s.wake.Signal()
}

func (s *session) write() {
	for {
		s.mu.Lock()
		s.busy = false
		for len(s.work) == 0 && !s.stopped {
			s.wake.Wait()
		}
		if s.stopped {
			s.mu.Unlock()
			return
		}
		work := s.work
		s.work, s.busy = nil, true
		s.mu.Unlock()
		for _, step := range work {
			_ = step()
		}
	}
}

// idle tells whether nothing is on its way out.
func (s *session) idle() bool {
	s.flush()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.work) == 0 && !s.busy && s.answers == 0
}

// end hears that the connection is gone.
func (s *session) end(code string) {
	if s.ended {
		return
	}
	s.ended = true
	if s.why != "" {
		code = s.why
	}
	s.raw.Close()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.wake.Broadcast()
	for _, c := range s.chans {
		s.p.memory.Dropped(c.no)
	}
	slog.Info("end", "party", "broker", "code", code, "addr", host(s.addr), "connection", s.no)
	s.p.lost(s, code)
	if s.then != nil {
		s.then()
	}
}

// close ends the connection in order: consumers, channels, connection. A broker that does not answer is left.
func (s *session) close(code string) {
	if s.closing || s.ended {
		return
	}
	s.closing, s.why = true, code
	for _, c := range s.chans {
		c.wanted = 0
	}
	go func() {
		gone := make(chan struct{})
		go func() {
			for _, c := range s.chans {
				if c.ch != nil {
					_ = c.ch.Close()
				}
			}
			_ = s.out.Close()
			_ = s.conn.Close()
			close(gone)
		}()
		const enough = 200 * time.Millisecond // some round trips
		select {
		case <-gone:
		case <-time.After(enough):
		}
		s.raw.Close()
		s.p.Post(func() { s.end(code) })
	}()
}

// whenClosed calls then once the session has ended.
func (s *session) whenClosed(then func()) {
	if s.ended {
		then()
		return
	}
	s.then = then
}

// openChannel opens a queue's channel after a while; it may fail again and again.
func (s *session) openChannel(q *Queue, after time.Duration) {
	s.p.gen++
	c := &channel{no: s.p.gen, queue: q, wanted: s.p.desk.Limit(q.Name), backoff: after}
	s.chans[q.Name] = c
	s.p.ScheduleAt(s.p.Now()+after, func() {
		if s.ended || s.closing {
			return
		}
		s.do(func() error {
			ch, err := s.conn.Channel()
			if err != nil {
				return err
			}
			closed := ch.NotifyClose(make(chan *client.Error, 1))
			cancelled := ch.NotifyCancel(make(chan string, 8))
			go func() {
				for range cancelled {
					s.p.Post(func() {
						slog.Warn("queue", "queue", q.Name, "code", "cancelled")
						s.reopen(c)
					})
				}
			}()
			go func() {
				e := <-closed
				s.p.Post(func() {
					if e != nil && s.chans[q.Name] == c {
						slog.Warn("queue", "queue", q.Name, "code", "amqp-"+strconv.Itoa(e.Code), "err", clip(e.Reason))
					}
					s.reopen(c)
				})
			}()
			s.p.Post(func() {
				c.ch = ch
				s.limit(q.Name, c.wanted)
			})
			return nil
		})
	})
}

// reopen replaces a channel that is gone, or whose consumer the broker took away; its deliveries come again.
func (s *session) reopen(c *channel) {
	name := c.queue.Name
	if s.ended || s.closing || s.chans[name] != c {
		return
	}
	s.p.memory.Dropped(c.no)
	s.p.desk.Lost(name)
	if old := c.ch; old != nil {
		s.do(old.Close)
	}
	// A queue that is gone is asked for again after a second, then less and less often.
	s.openChannel(c.queue, min(max(2*c.backoff, time.Second), 30*time.Second))
}

// limit tells the broker how many messages of a queue may be unsettled; none, and the consumer is cancelled.
func (s *session) limit(name intake.QueueName, limit int) {
	c := s.chans[name]
	if c == nil {
		return
	}
	c.wanted = limit
	if c.ch == nil || s.closing || limit == c.limit {
		return
	}
	// Small changes of a large limit are not worth a round trip.
	if was := c.limit; was > 0 && limit > 0 && limit*10 > was*9 && limit*9 < was*10 {
		return
	}
	was, ch := c.limit, c.ch
	c.limit = limit
	switch {
	case limit == 0:
		tag := c.tag
		s.do(func() error { return ch.Cancel(tag, false) })
	case was > 0:
		s.do(func() error { return ch.Qos(limit, 0, true) })
	default:
		s.p.gen++
		c.tag = "lanewheel-" + strconv.FormatUint(s.p.gen, 10)
		tag := c.tag
		s.do(func() error {
			if err := ch.Qos(limit, 0, true); err != nil {
				return err
			}
			from, err := ch.Consume(string(name), tag, false, false, false, false, nil)
			if err == nil {
				go s.read(c, from)
			}
			return err
		})
	}
}

// read reads one consumer's deliveries, beside the loop.
func (s *session) read(c *channel, from <-chan client.Delivery) {
	for d := range from {
		m := c.queue.Mapping.Read(c.queue.Name, &d, marked(d.Body), time.Now())
		tag := intake.Tag{Connection: c.no, Delivery: d.DeliveryTag}
		if m.Bad == badHeader { // nothing of it was read, so nothing can tell it from another
			m.ID = intake.MessageID(fmt.Sprintf("unread:%d:%d", tag.Connection, tag.Delivery))
		}
		redelivered := d.Redelivered
		s.p.Post(func() { s.p.came(c.queue, m, tag, redelivered) })
	}
}

// has gives the channel on which a delivery came, nil if it is gone.
func (s *session) has(name intake.QueueName, tag intake.Tag) *channel {
	if c := s.chans[name]; c != nil && c.no == tag.Connection && !s.ended {
		return c
	}
	return nil
}

func (s *session) took(name intake.QueueName, tag intake.Tag) {
	if c := s.has(name, tag); c != nil {
		c.acks.Took(tag.Delivery)
	}
}

// ack marks a delivery; the batch's acks go together.
func (s *session) ack(name intake.QueueName, tag intake.Tag) {
	if c := s.has(name, tag); c != nil {
		c.acks.Done(tag.Delivery)
		s.p.desk.Settled(name)
	}
}

// flush sends the acks of a batch.
func (s *session) flush() {
	for _, c := range s.chans {
		for _, a := range c.acks.Flush() {
			c.send(s, a)
		}
	}
}

func (c *channel) send(s *session, a intake.Covers) {
	ch := c.ch
	s.do(func() error { return ch.Ack(a.Tag, a.Multiple) })
}

func (s *session) requeue(name intake.QueueName, tag intake.Tag) {
	if c := s.has(name, tag); c != nil && c.acks.Drop(tag.Delivery) {
		s.p.desk.Settled(name)
		s.do(func() error { return c.ch.Nack(tag.Delivery, false, true) })
	}
}

func (s *session) reject(name intake.QueueName, tag intake.Tag) {
	if c := s.has(name, tag); c != nil && c.acks.Drop(tag.Delivery) {
		s.p.desk.Settled(name)
		s.do(func() error { return c.ch.Reject(tag.Delivery, false) })
	}
}

// answer publishes an answer; then is called once it is confirmed.
func (s *session) answer(a *answering, then func()) {
	headers := client.Table{"outcome": a.word}
	if a.why != "" {
		headers["why"] = a.why
	}
	// Its id is the message's: whoever gets an answer twice, since nobody could tell whether the first one arrived, knows it again.
	s.publish(a.to, client.Publishing{MessageId: "answer:" + a.msg, CorrelationId: a.id, Type: a.word, Headers: headers, Body: a.body, Timestamp: time.Now()}, then)
}

// dead copies a message to its queue's dead-letter queue, with the reason.
func (s *session) dead(j *job, word, why string, then func()) {
	headers := client.Table{"outcome": word, "queue": string(j.queue.Name), "attempt": int64(j.msg.Attempt)}
	if why != "" {
		headers["why"] = why
	}
	s.publish(j.queue.Dead, client.Publishing{MessageId: string(j.msg.ID), CorrelationId: j.msg.Reply, ReplyTo: j.msg.ReplyTo,
		Type: j.msg.Ask.Class, Headers: headers, Body: j.msg.Ask.Body, DeliveryMode: client.Persistent, Timestamp: time.Now()}, then)
}

func (s *session) publish(key string, p client.Publishing, then func()) {
	s.mu.Lock()
	s.answers++
	s.mu.Unlock()
	s.do(func() error {
		s.mu.Lock()
		s.confirms[s.out.GetNextPublishSeqNo()] = then
		s.mu.Unlock()
		return s.out.Publish("", key, false, false, p)
	})
}

// confirmed hears from the broker that it has what was published, or has not: then the message stays unsettled and comes again
// with its channel.
func (s *session) confirmed(c client.Confirmation) {
	s.mu.Lock()
	then := s.confirms[c.DeliveryTag]
	delete(s.confirms, c.DeliveryTag)
	s.answers--
	s.mu.Unlock()
	if then != nil && c.Ack {
		s.p.Post(then)
	}
}
