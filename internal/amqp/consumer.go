package amqp

import (
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/authn"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/logging"
	"lanewheel/internal/statussocket"
)

// Config is what the operator's file tells of this front.
type Config struct {
	BrokerURLs        []string // URLs, the preferred first
	Queues            []Queue
	MaxInFlight       int // messages over all queues
	RetryFraction     float64
	UnstartedRate     int // messages a second that never become ops
	MaxRemembered     int
	RememberedFor     time.Duration
	HeartbeatInterval time.Duration
	TLS               *tls.Config              // for amqps addresses
	StatusSocket      string                   // path of a local socket that tells how the intake stands, empty for none
	Login             string                   // user:password in place of the URLs', empty for theirs
	IdempotentClasses map[admission.Class]bool // the op types that may run twice
}

// Consumer is the front. All its tables belong to its own loop; the broker's client, which blocks, works beside it.
type Consumer struct {
	*eventloop.Loop
	config        Config
	server        frontend.Server
	postToServer  func(...func()) // to the core's loop
	random        *rand.Rand
	flow          *delivery.FlowController
	deduplicator  *delivery.Deduplicator[*reply]
	retryBudget   *delivery.RetryBudget
	brokers       *brokerSelector
	queues        map[delivery.QueueName]*Queue
	credentials   map[delivery.QueueName]*authn.Credential // belong to the core's loop
	inFlight      map[delivery.MessageID]*pendingMessage   // in hand
	session       *session                                 // nil while there is none
	lastID        uint64
	pollingLoad   bool // for the core's load
	draining      bool
	drainDeadline time.Duration // when all has to be over
	closed        chan struct{}
	outcomeLog    logging.Sampler[string]
	counters      map[string]uint64 // by outcome, and what else happens
	pacedAcks     []func()          // acks that are paced
	loggedAt      time.Duration
	loggedTotal   uint64
}

// New makes the front; it consumes once Start is called. hand gives calls to the core's loop.
func New(config Config, server frontend.Server, postToServer func(...func()), seed uint64) *Consumer {
	consumer := &Consumer{Loop: eventloop.New(1 << 16), config: config, server: server, postToServer: postToServer, random: rand.New(rand.NewPCG(seed, 1)),
		deduplicator: delivery.NewDeduplicator[*reply](config.MaxRemembered, config.RememberedFor), retryBudget: delivery.NewRetryBudget(config.RetryFraction),
		queues: map[delivery.QueueName]*Queue{}, credentials: map[delivery.QueueName]*authn.Credential{},
		inFlight: map[delivery.MessageID]*pendingMessage{}, closed: make(chan struct{}), counters: map[string]uint64{}}
	var queues []delivery.Queue
	for i := range config.Queues {
		queue := &config.Queues[i]
		consumer.queues[queue.Name] = queue
		consumer.credentials[queue.Name] = &authn.Credential{ConfiguredIdentity: queue.Identity}
		queues = append(queues, queue.Queue)
	}
	consumer.flow = delivery.NewFlowController(queues, config.MaxInFlight)
	consumer.brokers = newBrokerSelector(config.BrokerURLs, consumer.random.Float64)
	return consumer
}

// Start begins to consume.
func (p *Consumer) Start() {
	if p.config.StatusSocket != "" {
		statussocket.Serve(p.config.StatusSocket, p.closed, p.serveStatus)
	}
	p.Post(func() {
		p.connect()
		p.pollLoad()
	})
	go p.Run(func() {
		if p.session != nil {
			p.session.flushAcks()
		}
	})
}

// Drain is the notice to drain: consuming stops at once; what was not started goes back, what runs is answered, and all is
// closed by last, a time from now.
func (p *Consumer) Drain(deadline time.Duration) {
	p.Post(func() {
		if p.draining {
			return
		}
		p.draining, p.drainDeadline = true, p.Now()+deadline
		p.applyLimits()
		p.finishDrain()
	})
}

// Drained tells whether all is over.
func (p *Consumer) Drained() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}

// finishDrain ends once nothing is in hand, or at the last moment; what is left then goes back with the channels.
func (p *Consumer) finishDrain() {
	s := p.session
	if (len(p.inFlight)+len(p.pacedAcks) == 0 && (s == nil || s.idle())) || p.Now() >= p.drainDeadline {
		p.logCounters()
		if s != nil {
			s.close("stopped")
		}
		for len(p.inFlight) > 0 { // their ops are the core's to end; nobody here waits any more
			for id := range p.inFlight {
				delete(p.inFlight, id)
			}
		}
		finish := func() {
			p.Quit()
			close(p.closed)
		}
		if s == nil {
			finish()
			return
		}
		s.whenClosed(finish)
		return
	}
	p.ScheduleAt(p.Now()+5*time.Millisecond, p.finishDrain)
}

// pollLoad asks the core how it stands, and goes by it.
func (p *Consumer) pollLoad() {
	if p.pollingLoad {
		return
	}
	p.pollingLoad = true
	p.postToServer(func() {
		load := p.server.Load()
		p.Post(func() {
			p.pollingLoad = false
			load.Draining = load.Draining || p.draining
			before := p.flow.PauseReason()
			p.flow.Update(p.Now(), load, p.session != nil && p.session.blocked)
			if after := p.flow.PauseReason(); after != before {
				slog.Info("intake", "was", before.String(), "is", after.String(), "in_hand", p.flow.TotalInFlight())
			}
			p.applyLimits()
			p.housekeep()
			if !p.HasQuit() {
				p.ScheduleAt(p.Now()+delivery.UpdateInterval, p.pollLoad)
			}
		})
	})
}

// applyLimits has the session take as much from each queue as the desk allows.
func (p *Consumer) applyLimits() {
	if p.session == nil {
		return
	}
	for _, queue := range p.queues {
		limit := p.flow.Limit(queue.Name)
		if p.draining {
			limit = 0
		}
		p.session.setPrefetch(queue.Name, limit)
	}
}

// handleDisconnect hears that a session's connection is gone: its deliveries come again, here or at a peer, and what runs goes on.
func (p *Consumer) handleDisconnect(s *session, code string) {
	if p.session != s {
		return
	}
	p.session = nil
	p.brokers.failed(p.Now(), s.url, code)
	for name := range p.queues {
		p.flow.Disconnected(name)
	}
	if !p.draining {
		p.connect()
	}
}

// connect looks for a broker.
func (p *Consumer) connect() {
	if p.draining || p.session != nil {
		return
	}
	url, wait := p.brokers.pick(p.Now())
	if wait > 0 {
		p.ScheduleAt(p.Now()+wait, p.connect)
		return
	}
	p.lastID++
	p.openSession(url, p.lastID, func(s *session, code string) {
		if code != "" {
			p.brokers.failed(p.Now(), url, code)
			if p.outcomeLog.Allow("broker "+code, time.Now()) {
				slog.Warn("broker", "addr", hostPort(url), "code", code)
			}
			p.connect()
			return
		}
		if p.draining {
			s.close("stopped")
			return
		}
		p.session = s
		p.brokers.connected(p.Now(), url)
		slog.Info("broker", "addr", hostPort(url), "code", "consuming", "connection", s.id)
		p.applyLimits()
	})
}

// housekeep does what is due now and then.
func (p *Consumer) housekeep() {
	p.outcomeLog.FlushSuppressed(time.Now(), func(outcome string, more int) { slog.Info("messages", "code", outcome, "more", more) })
	if p.session != nil && !p.draining && p.brokers.shouldFailBack(p.Now()) && len(p.inFlight) == 0 {
		p.session.close("returning")
	}
	const logInterval = time.Minute
	if p.Now()-p.loggedAt >= logInterval {
		p.loggedAt = p.Now()
		p.logCounters()
	}
}

// logCounters leaves a line with the counters, if they have moved since the last one.
func (p *Consumer) logCounters() {
	var attributes []any
	total := uint64(0)
	for _, name := range sortedNames(p.counters) {
		total += p.counters[name]
		attributes = append(attributes, name, p.counters[name])
	}
	if total == p.loggedTotal {
		return
	}
	p.loggedTotal = total
	slog.Info("queues", append([]any{"in_hand", len(p.inFlight), "known", p.deduplicator.Len()}, attributes...)...)
}
