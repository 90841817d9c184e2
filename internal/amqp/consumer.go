// Package amqp is the front end for messages on queues (AMQP 0-9-1): it consumes from a broker, submits each message
// as a request to the server, publishes the reply and settles the delivery. Package delivery holds its decisions;
// mapping.go, brokerselector.go and propertywalker.go do no I/O either.
package amqp

import (
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/authn"
	"lanewheel/internal/authz"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/logging"
	"lanewheel/internal/statussocket"
)

const (
	// maxPendingCalls is how many calls to the consumer's loop may be pending before PostBlocking waits.
	maxPendingCalls = 1 << 16
	// drainCheckInterval is how often a draining consumer checks whether all is settled.
	drainCheckInterval = 5 * time.Millisecond
	// counterLogInterval is how often the counters are logged, if they have changed.
	counterLogInterval = time.Minute
)

// Config is the operator's configuration of the front end.
type Config struct {
	BrokerURLs        []string // the preferred broker first
	Queues            []Queue
	MaxInFlight       int     // messages over all queues
	RetryFraction     float64 // retries for each fresh message
	UnstartedRate     int     // messages a second that may be settled without being executed
	MaxRemembered     int     // settled messages that are remembered for redeliveries
	RememberedFor     time.Duration
	HeartbeatInterval time.Duration
	TLS               *tls.Config              // for amqps URLs; nil: the system's roots, no client certificate
	StatusSocket      string                   // path of the local socket that shows the status; empty: none
	Login             string                   // user:password, instead of the URLs'; empty: the URLs'
	IdempotentClasses map[admission.Class]bool // the classes that may be executed twice
}

// Queue is the operator's configuration of one queue.
type Queue struct {
	delivery.Queue
	Settlement      delivery.SettlementConfig
	Mapping         Mapping
	Identity        authz.Identity // the caller of all its messages; empty: each message brings a token
	DeadLetterQueue string         // empty: none
}

// Consumer is the front end. Its event loop owns all its state; what blocks in the broker's client library runs on
// goroutines of the session.
type Consumer struct {
	*eventloop.Loop
	config       Config
	server       frontend.Server
	postToServer func(...func()) // posts to the server's event loop
	random       *rand.Rand
	flow         *delivery.FlowController
	deduplicator *delivery.Deduplicator[*reply]
	retryBudget  *delivery.RetryBudget
	brokers      *brokerSelector
	queues       map[delivery.QueueName]*Queue
	inFlight     map[delivery.MessageID]*pendingMessage
	session      *session // nil while there is none
	lastID       uint64   // of sessions, channels and consumer tags
	pollingLoad  bool     // the server's load was asked for
	pacedAcks    []func()
	counters     counters
	logSampler   logging.Sampler[sampledLine]

	draining      bool
	drainDeadline time.Duration // by the loop's clock
	closed        chan struct{} // closed once all is drained; any goroutine may receive from it

	credentials map[delivery.QueueName]*authn.Credential // owned by the server's event loop
}

// New returns a consumer that hands the messages to server; it consumes once Start is called. postToServer posts
// calls to the server's event loop.
func New(config Config, server frontend.Server, postToServer func(...func()), seed uint64) *Consumer {
	c := &Consumer{
		Loop:         eventloop.New(maxPendingCalls),
		config:       config,
		server:       server,
		postToServer: postToServer,
		random:       rand.New(rand.NewPCG(seed, 1)),
		deduplicator: delivery.NewDeduplicator[*reply](config.MaxRemembered, config.RememberedFor),
		retryBudget:  delivery.NewRetryBudget(config.RetryFraction),
		queues:       map[delivery.QueueName]*Queue{},
		credentials:  map[delivery.QueueName]*authn.Credential{},
		inFlight:     map[delivery.MessageID]*pendingMessage{},
		closed:       make(chan struct{}),
		counters:     newCounters(),
	}
	var queues []delivery.Queue
	for i := range config.Queues {
		queue := &config.Queues[i]
		c.queues[queue.Name] = queue
		c.credentials[queue.Name] = &authn.Credential{ConfiguredIdentity: queue.Identity}
		queues = append(queues, queue.Queue)
	}
	c.flow = delivery.NewFlowController(queues, config.MaxInFlight)
	c.brokers = newBrokerSelector(config.BrokerURLs, c.random.Float64)
	return c
}

// Start begins to consume.
func (c *Consumer) Start() {
	if c.config.StatusSocket != "" {
		statussocket.Serve(c.config.StatusSocket, c.closed, c.serveStatus)
	}
	c.Post(func() {
		c.connect()
		c.pollLoad()
	})
	go c.Run(func() {
		if c.session != nil {
			c.session.flushAcks()
		}
	})
}

// Drain is the notice to drain: consuming stops at once, what was not executed goes back, what is executed is replied
// to, and all is closed within the given time. Any goroutine may call it.
func (c *Consumer) Drain(within time.Duration) {
	c.Post(func() {
		if c.draining {
			return
		}
		c.draining = true
		c.drainDeadline = c.Now() + within
		c.applyLimits()
		c.continueDrain()
	})
}

// Drained tells whether all is closed. Any goroutine may call it.
func (c *Consumer) Drained() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// continueDrain closes the session once nothing is in flight, or at the deadline, and comes back until then. What is
// left at the deadline goes back to the broker with its channel.
func (c *Consumer) continueDrain() {
	settled := len(c.inFlight)+len(c.pacedAcks) == 0 && (c.session == nil || c.session.idle())
	if !settled && c.Now() < c.drainDeadline {
		c.ScheduleAt(c.Now()+drainCheckInterval, c.continueDrain)
		return
	}
	c.logCounters()
	clear(c.inFlight) // the server finishes their requests; nobody waits for the outcomes here
	finish := func() {
		c.Quit()
		close(c.closed)
	}
	if c.session == nil {
		finish()
		return
	}
	c.session.close(codeShutdown)
	c.session.whenClosed(finish)
}

// pollLoad asks the server for its load, updates the limits by it, and does so again after an interval.
func (c *Consumer) pollLoad() {
	if c.pollingLoad {
		return
	}
	c.pollingLoad = true
	c.postToServer(func() {
		load := c.server.Load()
		c.Post(func() {
			c.pollingLoad = false
			c.updateFlow(load)
			c.applyLimits()
			c.housekeep()
			if !c.HasQuit() {
				c.ScheduleAt(c.Now()+delivery.UpdateInterval, c.pollLoad)
			}
		})
	})
}

func (c *Consumer) updateFlow(load frontend.Load) {
	load.Draining = load.Draining || c.draining
	blocked := c.session != nil && c.session.blocked
	before := c.flow.PauseReason()
	c.flow.Update(c.Now(), load, blocked)
	switch after := c.flow.PauseReason(); after {
	case before:
	case delivery.NotPaused:
		slog.Info("consuming resumed", "in_flight", c.flow.TotalInFlight())
	default:
		slog.Info("consuming paused", "reason", after.String(), "in_flight", c.flow.TotalInFlight())
	}
}

// applyLimits lets the session have as many messages of each queue unsettled as the flow controller allows.
func (c *Consumer) applyLimits() {
	if c.session == nil {
		return
	}
	for _, queue := range c.queues {
		limit := c.flow.Limit(queue.Name)
		if c.draining {
			limit = 0
		}
		c.session.setPrefetch(queue.Name, limit)
	}
}

// housekeep does what is due now and then.
func (c *Consumer) housekeep() {
	c.logSuppressed()
	canFailBack := c.session != nil && !c.draining && len(c.inFlight) == 0
	if canFailBack && c.brokers.shouldFailBack(c.Now()) {
		c.session.close(codeFailback)
	}
	if c.Now()-c.counters.loggedAt >= counterLogInterval {
		c.counters.loggedAt = c.Now()
		c.logCounters()
	}
}

// connect opens a session with the broker that is to be tried now, or comes back when one may be.
func (c *Consumer) connect() {
	if c.draining || c.session != nil {
		return
	}
	url, wait := c.brokers.pick(c.Now())
	if wait > 0 {
		c.ScheduleAt(c.Now()+wait, c.connect)
		return
	}
	c.lastID++
	c.openSession(c.lastID, url)
}

// handleConnectFailure hears that a session was not opened.
func (c *Consumer) handleConnectFailure(url string, err error) {
	code := connectErrorCode(err)
	c.brokers.failed(c.Now(), url)
	if c.logSampler.Allow(sampledLine{connectionCode: code}, time.Now()) {
		slog.Warn("broker connection failed", "addr", hostPort(url), "code", string(code))
	}
	c.connect()
}

// handleConnect takes a session that was opened.
func (c *Consumer) handleConnect(s *session) {
	if c.draining {
		s.close(codeShutdown)
		return
	}
	c.session = s
	c.brokers.connected(c.Now(), s.url)
	slog.Info("broker connected", "addr", hostPort(s.url), "connection", s.id)
	for _, queue := range c.config.Queues {
		s.openChannel(c.queues[queue.Name], 0)
	}
}

// handleDisconnect hears that a session's connection is gone: its deliveries come again, here or at a peer, and what
// is executed goes on.
func (c *Consumer) handleDisconnect(s *session) {
	if c.session != s {
		return
	}
	c.session = nil
	c.brokers.failed(c.Now(), s.url)
	for name := range c.queues {
		c.flow.ResetInFlight(name)
	}
	if !c.draining {
		c.connect()
	}
}
