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
	// dialTimeout limits how long opening a connection may take: some round trips on a poor network.
	dialTimeout = 5 * time.Second
	// closeTimeout limits how long the broker may take to close a connection in order.
	closeTimeout = 200 * time.Millisecond
	// maxHeaderBytes limits the properties of a message: those of the specification and some dozen headers.
	maxHeaderBytes = 8 << 10
	// Buffer sizes of the channels on which the client library sends notifications.
	maxPendingConfirmations  = 1024
	maxPendingBlockedNotices = 8
	maxPendingCancellations  = 8
)

// session is one connection to a broker, with one channel for each queue and one for replies. Calls that may block, or
// that must be made in order, are made by its writer, which is one goroutine.
type session struct {
	consumer *Consumer
	id       uint64
	url      string

	// Set by the goroutine that dials, before the consumer's event loop receives the session; constant after that.
	netConn      net.Conn
	connection   *client.Connection
	replyChannel *client.Channel

	// Owned by the consumer's event loop.
	channels  map[delivery.QueueName]*queueChannel
	blocked   bool // the broker has blocked publishing
	closing   bool
	closeCode connectionCode // why the consumer closes the session; empty: it is not closing it
	ended     bool
	onClosed  func() // called once the session has ended

	mu            sync.Mutex
	steps         []func() error // calls that the writer has yet to make; guarded by mu
	wake          *sync.Cond     // condition on mu; signaled when steps are added or the writer must stop
	writerStopped bool           // the writer must stop; guarded by mu
	writerBusy    bool           // the writer is making calls that it took from steps; guarded by mu
	unconfirmed   int            // messages queued for publishing or published, and not confirmed; guarded by mu
	// onConfirm holds the function to call for each unconfirmed message, by its sequence number. Guarded by mu.
	onConfirm map[uint64]func()
}

// hostPort returns the host and port in a broker's URL, without the login that the URL may contain. It returns "?" for
// an invalid URL.
func hostPort(url string) string {
	uri, err := client.ParseURI(url)
	if err != nil {
		return "?"
	}
	return joinHostPort(&uri)
}

// joinHostPort returns the host and port of a broker.
func joinHostPort(uri *client.URI) string {
	return net.JoinHostPort(uri.Host, strconv.Itoa(uri.Port))
}

// openSession dials on a new goroutine. It then calls handleConnect or handleConnectFailure on the event loop.
func (c *Consumer) openSession(id uint64, url string) {
	s := &session{
		consumer:  c,
		id:        id,
		url:       url,
		channels:  map[delivery.QueueName]*queueChannel{},
		onConfirm: map[uint64]func(){},
	}
	s.wake = sync.NewCond(&s.mu)
	go func() {
		err := s.dial()
		c.Post(func() {
			if err != nil {
				if s.netConn != nil {
					_ = s.netConn.Close() // an error is of no interest here: dialing has failed already
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
	s.startNotificationHandlers()
	return nil
}

// filteredConn returns the connection that the client library reads: it decrypts TLS and filters contents that exceed
// the limits.
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

// startNotificationHandlers starts the goroutines that handle the client library's notifications. They end with the
// connection.
func (s *session) startNotificationHandlers() {
	closed := s.connection.NotifyClose(make(chan *client.Error, 1))
	repliesClosed := s.replyChannel.NotifyClose(make(chan *client.Error, 1))
	blockedNotices := s.connection.NotifyBlocked(make(chan client.Blocking, maxPendingBlockedNotices))
	confirmations := s.replyChannel.NotifyPublish(make(chan client.Confirmation, maxPendingConfirmations))
	go func() {
		for confirmation := range confirmations {
			s.handleConfirmation(confirmation)
		}
	}()
	go func() {
		for notice := range blockedNotices {
			s.consumer.Post(func() { s.handleBlocking(notice.Active) })
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
			_ = s.netConn.Close() // the session cannot be used without its reply channel
		}
		s.consumer.Post(func() { s.handleClosed(code) })
	}()
}

// handleBlocking handles a notification that the broker blocks or accepts publishing.
func (s *session) handleBlocking(blocked bool) {
	s.blocked = blocked
	if blocked {
		slog.Warn("publishing blocked by broker", "addr", hostPort(s.url))
	} else {
		slog.Warn("publishing unblocked by broker", "addr", hostPort(s.url))
	}
}

// handleClosed handles the end of the connection. Only the first call has an effect.
func (s *session) handleClosed(code connectionCode) {
	if s.ended {
		return
	}
	s.ended = true
	if s.closeCode != "" {
		code = s.closeCode
	}
	_ = s.netConn.Close() // the connection may be closed already
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

// close closes the session in order: first the channels with their consumers, then the connection. It waits at most
// closeTimeout for the broker.
func (s *session) close(code connectionCode) {
	if s.closing || s.ended {
		return
	}
	s.closing = true
	s.closeCode = code
	var clientChannels []*client.Channel
	for _, c := range s.channels {
		c.targetPrefetch = 0
		if c.clientChannel != nil {
			clientChannels = append(clientChannels, c.clientChannel)
		}
	}
	go func() {
		closed := make(chan struct{})
		go func() {
			// Errors mean that the connection is already closed.
			for _, clientChannel := range clientChannels {
				_ = clientChannel.Close()
			}
			_ = s.replyChannel.Close()
			_ = s.connection.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(closeTimeout):
		}
		_ = s.netConn.Close() // the connection may be closed already
		s.consumer.Post(func() { s.handleClosed(code) })
	}()
}

// whenClosed calls a function on the consumer's event loop once the session has ended. It must be called there.
func (s *session) whenClosed(callback func()) {
	if s.ended {
		callback()
		return
	}
	s.onClosed = callback
}
