package amqp

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp/delivery"
)

const (
	// dialTimeout bounds how long opening a connection may take: some round trips of a poor line.
	dialTimeout = 5 * time.Second
	// closeTimeout bounds how long the broker may take to close a connection in order.
	closeTimeout = 200 * time.Millisecond
	// maxHeaderBytes bounds a message's properties: those of the specification and some dozen headers.
	maxHeaderBytes = 8 << 10
	// How many notifications of the client library may wait for the goroutine that takes them.
	maxPendingConfirmations = 1024
	maxPendingBlockings     = 8
	maxPendingCancellations = 8
)

// session is one connection to a broker, with one channel for each queue and one for replies. What blocks, or has to
// go out in order, is done by its writer, one goroutine.
type session struct {
	consumer *Consumer
	id       uint64
	url      string

	// Set by the goroutine that dials, before the consumer's event loop knows the session; constant after that.
	netConn      net.Conn
	connection   *client.Connection
	replyChannel *client.Channel

	// Owned by the consumer's event loop.
	channels  map[delivery.QueueName]*channel
	blocked   bool // the broker accepts nothing that is published
	closing   bool
	closeCode connectionCode // why we close; empty: we don't
	ended     bool
	onClosed  func() // called once the session has ended

	mu          sync.Mutex
	steps       []func() error // guarded by mu
	wake        *sync.Cond     // by mu: there are steps, or the session has ended
	stopped     bool           // guarded by mu
	busy        bool           // guarded by mu: the writer is at steps that it took
	unconfirmed int            // guarded by mu: published and not confirmed, or about to be published
	// onConfirm is called for the number of a published message, guarded by mu.
	onConfirm map[uint64]func()
}

// hostPort returns a broker's address without the login that its URL may hold.
func hostPort(url string) string {
	uri, err := client.ParseURI(url)
	if err != nil {
		return "?"
	}
	return joinHostPort(&uri)
}

func joinHostPort(uri *client.URI) string {
	return net.JoinHostPort(uri.Host, strconv.Itoa(uri.Port))
}

// openSession dials on a goroutine of its own. handleConnect or handleConnectFailure hears how that went.
func (c *Consumer) openSession(id uint64, url string) {
	s := &session{
		consumer:  c,
		id:        id,
		url:       url,
		channels:  map[delivery.QueueName]*channel{},
		onConfirm: map[uint64]func(){},
	}
	s.wake = sync.NewCond(&s.mu)
	go func() {
		err := s.dial()
		c.Post(func() {
			if err != nil {
				if s.netConn != nil {
					_ = s.netConn.Close() // it is of no use, and the error is known
				}
				c.handleConnectFailure(url, err)
				return
			}
			go s.writeLoop()
			c.handleConnect(s)
		})
	}()
}

// dial opens the connection and the channel for replies.
func (s *session) dial() error {
	uri, err := client.ParseURI(s.url)
	if err != nil {
		return err
	}
	if user, password, found := strings.Cut(s.consumer.config.Login, ":"); found {
		uri.Username, uri.Password = user, password
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	s.netConn, err = dialer.DialContext(context.Background(), "tcp", joinHostPort(&uri))
	if err != nil {
		return err
	}
	if err := s.netConn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	s.connection, err = client.Open(s.filteredConn(&uri), client.Config{
		SASL:       []client.Authentication{uri.PlainAuth()},
		Vhost:      uri.Vhost,
		Heartbeat:  s.consumer.config.HeartbeatInterval,
		Locale:     "en_US",
		Properties: client.Table{"product": "lanewheel"},
	})
	if err != nil {
		return err
	}
	if err := s.netConn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	s.replyChannel, err = s.connection.Channel()
	if err != nil {
		return err
	}
	if err := s.replyChannel.Confirm(false); err != nil {
		return err
	}
	s.watch()
	return nil
}

// filteredConn is the connection as the client library reads it: without TLS, and without contents over our bounds.
func (s *session) filteredConn(uri *client.URI) net.Conn {
	conn := s.netConn
	if uri.Scheme == "amqps" {
		config := &tls.Config{}
		if s.consumer.config.TLS != nil {
			config = s.consumer.config.TLS.Clone()
		}
		if config.ServerName == "" {
			config.ServerName = uri.Host
		}
		conn = tls.Client(conn, config)
	}
	maxBodyBytes := 0
	for _, queue := range s.consumer.config.Queues {
		maxBodyBytes = max(maxBodyBytes, queue.Mapping.MaxBodyBytes)
	}
	return newFrameFilter(conn, maxHeaderBytes, maxBodyBytes)
}

// watch starts the goroutines that take what the client library notifies. They end with the connection.
func (s *session) watch() {
	closed := s.connection.NotifyClose(make(chan *client.Error, 1))
	repliesClosed := s.replyChannel.NotifyClose(make(chan *client.Error, 1))
	blockings := s.connection.NotifyBlocked(make(chan client.Blocking, maxPendingBlockings))
	confirmations := s.replyChannel.NotifyPublish(make(chan client.Confirmation, maxPendingConfirmations))
	go func() {
		for confirmation := range confirmations {
			s.handleConfirmation(confirmation)
		}
	}()
	go func() {
		for blocking := range blockings {
			s.consumer.Post(func() { s.handleBlocking(blocking.Active) })
		}
	}()
	go func() {
		code := codeClosed
		select {
		case err := <-closed:
			if err != nil {
				code = amqpCode(err)
			}
		case err := <-repliesClosed:
			if err != nil {
				code = "replies-" + amqpCode(err)
			}
			_ = s.netConn.Close() // without replies the session is of no use
		}
		s.consumer.Post(func() { s.handleClosed(code) })
	}()
}

func (s *session) handleBlocking(blocked bool) {
	s.blocked = blocked
	if blocked {
		slog.Warn("broker blocks publishing", "addr", hostPort(s.url))
	} else {
		slog.Warn("broker accepts publishing again", "addr", hostPort(s.url))
	}
}

// handleClosed hears that the connection is gone.
func (s *session) handleClosed(code connectionCode) {
	if s.ended {
		return
	}
	s.ended = true
	if s.closeCode != "" {
		code = s.closeCode
	}
	_ = s.netConn.Close() // it may be closed already
	s.stopWriter()
	for _, c := range s.channels {
		s.consumer.deduplicator.ForgetChannel(c.id)
	}
	slog.Info("connection closed", "peer", "broker", "code", string(code), "addr", hostPort(s.url), "connection", s.id)
	s.consumer.handleDisconnect(s)
	if s.onClosed != nil {
		s.onClosed()
	}
}

// close ends the connection in order: channels with their consumers, then the connection. It does not wait for a
// broker that does not answer.
func (s *session) close(code connectionCode) {
	if s.closing || s.ended {
		return
	}
	s.closing = true
	s.closeCode = code
	var links []*client.Channel
	for _, c := range s.channels {
		c.wantedPrefetch = 0
		if c.link != nil {
			links = append(links, c.link)
		}
	}
	go func() {
		closed := make(chan struct{})
		go func() {
			// Errors say that the connection is gone, which is what is wanted.
			for _, link := range links {
				_ = link.Close()
			}
			_ = s.replyChannel.Close()
			_ = s.connection.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(closeTimeout):
		}
		_ = s.netConn.Close() // it may be closed already
		s.consumer.Post(func() { s.handleClosed(code) })
	}()
}

// whenClosed calls a function on the consumer's event loop once the session has ended.
func (s *session) whenClosed(callback func()) {
	if s.ended {
		callback()
		return
	}
	s.onClosed = callback
}
