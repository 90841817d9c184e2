package amqp

import (
	"crypto/tls"
	"errors"
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
