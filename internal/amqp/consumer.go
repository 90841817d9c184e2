// Package amqp is the front end for messages on queues (AMQP 0-9-1). It consumes from a broker, submits each message as
// a request to the server, publishes the reply and settles the delivery. The decisions are made in package delivery;
// mapping.go, brokerselector.go and propertywalker.go do no I/O either.
package amqp

import (
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"slices"
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
	// maxPendingCalls is how many calls to the consumer's event loop may be pending before PostBlocking waits.
	maxPendingCalls = 1 << 16
	// drainCheckInterval is how often a draining consumer checks whether all messages are settled.
	drainCheckInterval = 5 * time.Millisecond
	// counterLogInterval is how often the counters are logged, if they have changed.
	counterLogInterval = time.Minute
)

// Config is the operator's configuration of the front end.
type Config struct {
	BrokerURLs        []string // the preferred broker first
	Queues            []Queue
	MaxInFlight       int           // maximum number of messages in flight over all queues
	RetryFraction     float64       // retries granted for each fresh message
	UnstartedRate     int           // messages per second that may be acked without having been executed
	MaxRemembered     int           // maximum number of settled messages remembered to recognize redeliveries
	RememberedFor     time.Duration // maximum time for which a settled message is remembered
	HeartbeatInterval time.Duration
	TLS               *tls.Config              // for amqps URLs; nil: the system's roots and no client certificate
	StatusSocket      string                   // path of the local socket that serves the status; empty: none
	Login             string                   // user:password, replaces the URLs' login; empty: the URLs' login
	IdempotentClasses map[admission.Class]bool // the classes that may be executed twice

	// ClassTimeouts holds the timeouts of the classes, 0 for none.
	ClassTimeouts map[admission.Class]time.Duration
}

// Queue is the operator's configuration of one queue.
type Queue struct {
	delivery.Queue
	Settlement      delivery.SettlementConfig
	Mapping         Mapping
	Identity        authz.Identity // caller of all its messages; empty: each message carries a token
	DeadLetterQueue string         // empty: none
}

// Consumer is the front end. Its state is owned by its event loop, except where noted. Blocking calls to the broker's
// client library run on goroutines of the session.
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
	waiting      map[*pendingMessage]bool // messages in flight that wait for their retry
	session      *session                 // nil while no broker is connected
	lastID       uint64                   // last id given to a session, a channel or a consumer tag
	pollingLoad  bool                     // a request for the server's load is pending
	pacedAcks    []func()                 // acks delayed by paceAck, in order
	counters     counters
	logSampler   logging.Sampler[logLineKind]

	draining      bool
	drainDeadline time.Duration // by the loop's clock
	closed        chan struct{} // closed when the consumer has drained; any goroutine may receive from it

	credentials map[delivery.QueueName]*authn.Credential // owned by the server's event loop
}

// New returns a consumer that submits messages to server. It starts to consume when Start is called. postToServer posts
// calls to the server's event loop.
func New(config Config, server frontend.Server, postToServer func(...func()), seed uint64) *Consumer {
	config.Queues = slices.Clone(config.Queues) // the caller keeps its own
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
		waiting:      map[*pendingMessage]bool{},
		closed:       make(chan struct{}),
		counters:     newCounters(),
	}
	var queues []delivery.Queue
	for i := range config.Queues {
		queue := &config.Queues[i]
		queue.Mapping.ClassTimeouts = config.ClassTimeouts
		c.queues[queue.Name] = queue
		c.credentials[queue.Name] = &authn.Credential{ConfiguredIdentity: queue.Identity}
		queues = append(queues, queue.Queue)
	}
	c.flow = delivery.NewFlowController(queues, config.MaxInFlight)
	c.brokers = newBrokerSelector(config.BrokerURLs, c.random.Float64)
	return c
}

// Start starts the event loop, the status socket and consuming. It returns at once.
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

// Drain makes the consumer stop consuming and end within the given time. Messages that have not been executed are
// returned to the broker; messages in execution are replied to and acked. Further calls have no effect. Any goroutine
// may call it.
func (c *Consumer) Drain(within time.Duration) {
	c.Post(func() {
		if c.draining {
			return
		}
		c.draining = true
		c.drainDeadline = c.Now() + within
		c.applyLimits()
		c.settleWaiting()
		c.continueDrain()
	})
}

// Drained reports whether the consumer has drained and closed its connection. Any goroutine may call it.
func (c *Consumer) Drained() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// continueDrain closes the session once nothing is in flight, or at the deadline. Until then it schedules itself again.
// When the channels close at the deadline, the broker takes back the messages that are still unsettled.
func (c *Consumer) continueDrain() {
	settled := len(c.inFlight)+len(c.pacedAcks) == 0 && (c.session == nil || c.session.idle())
	if !settled && c.Now() < c.drainDeadline {
		c.ScheduleAt(c.Now()+drainCheckInterval, c.continueDrain)
		return
	}
	c.logCounters()
	clear(c.inFlight) // the server finishes these requests, but the consumer no longer needs their outcomes
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

// pollLoad requests the server's load, updates the limits accordingly, and schedules itself again after an interval.
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
			c.runPeriodicTasks()
			if !c.HasQuit() {
				c.ScheduleAt(c.Now()+delivery.UpdateInterval, c.pollLoad)
			}
		})
	})
}

// updateFlow updates the flow controller and logs changes of the pause reason.
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

// applyLimits sets the prefetch of each queue to the limit of the flow controller, or to 0 while draining.
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

// runPeriodicTasks logs the number of suppressed lines and the changed counters, and closes the session when it is time
// to fail back to the preferred broker.
func (c *Consumer) runPeriodicTasks() {
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

// connect opens a session with the selected broker, or schedules itself again for when a backoff expires.
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

// handleConnectFailure handles a failure to open a session.
func (c *Consumer) handleConnectFailure(url string, err error) {
	code := connectErrorCode(err)
	c.brokers.onFailure(c.Now(), url)
	if c.logSampler.Allow(logLineKind{connectionCode: code}, time.Now()) {
		slog.Warn("broker connection failed", "addr", hostPort(url), "code", string(code))
	}
	c.connect()
}

// handleConnect takes over a session that has been opened.
func (c *Consumer) handleConnect(s *session) {
	if c.draining {
		s.close(codeShutdown)
		return
	}
	c.session = s
	c.brokers.onConnected(c.Now(), s.url)
	slog.Info("connected to broker", "addr", hostPort(s.url), "connection", s.id)
	for _, queue := range c.config.Queues {
		s.openChannel(c.queues[queue.Name], 0)
	}
}

// handleDisconnect handles the loss of a session's connection. The broker redelivers the unsettled messages, to this
// instance or to a peer; requests that the server is executing continue.
func (c *Consumer) handleDisconnect(s *session) {
	if c.session != s {
		return
	}
	c.session = nil
	c.brokers.onFailure(c.Now(), s.url)
	for name := range c.queues {
		c.flow.ResetInFlight(name)
	}
	if !c.draining {
		c.connect()
	}
}
