package amqp

import (
	"crypto/tls"
	"fmt"
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
	deduplicator  *delivery.Deduplicator
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

// pendingMessage is one message in hand.
type pendingMessage struct {
	consumer *Consumer
	queue    *Queue
	message  parsedMessage
	finished bool // its outcome has come
}

// New makes the front; it consumes once Start is called. hand gives calls to the core's loop.
func New(config Config, server frontend.Server, postToServer func(...func()), seed uint64) *Consumer {
	consumer := &Consumer{Loop: eventloop.New(1 << 16), config: config, server: server, postToServer: postToServer, random: rand.New(rand.NewPCG(seed, 1)),
		deduplicator: delivery.NewDeduplicator(config.MaxRemembered, config.RememberedFor), retryBudget: delivery.NewRetryBudget(config.RetryFraction),
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
				slog.Info("intake", "was", before, "is", after, "in_hand", p.flow.TotalInFlight())
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

// handleDelivery takes one delivery, read beside the loop.
func (p *Consumer) handleDelivery(queue *Queue, message parsedMessage, tag delivery.DeliveryTag, redelivered bool) {
	if p.session == nil || p.session.channelOf(queue.Name, tag) == nil {
		return // lost meanwhile; it comes again
	}
	p.flow.Received(queue.Name)
	p.session.trackDelivery(queue.Name, tag)
	if p.draining {
		p.counters["returned"]++
		p.session.requeue(queue.Name, tag)
		return
	}
	idempotent := p.config.IdempotentClasses[admission.Class(message.request.Class)]
	decision, earlier := p.deduplicator.Receive(p.Now(), message.id, message.digest, tag, redelivered, idempotent)
	conflict := decision == delivery.IDConflict
	if conflict { // it is known by what it says, too
		message.id = delivery.MessageID(fmt.Sprintf("%s#%x", message.id, message.digest))
		decision, earlier = p.deduplicator.Receive(p.Now(), message.id, message.digest, tag, false, true)
	}
	pending := &pendingMessage{consumer: p, queue: queue, message: message}
	switch decision {
	case delivery.Join: // in hand already; the delivery is settled with it
		p.counters["joined"]++
		return
	case delivery.AlreadyReplied:
		p.counters["repeated"]++
		p.session.ack(queue.Name, tag)
		return
	case delivery.ResendReply:
		p.counters["answered-again"]++
		if repeated, ok := earlier.(*reply); ok {
			s := p.session
			s.publishReply(repeated, func() {
				p.deduplicator.ReplyConfirmed(message.id)
				s.ack(queue.Name, tag)
			})
			return
		}
		p.session.ack(queue.Name, tag)
		return
	case delivery.Uncertain:
		p.settle(pending, nil, p.disposition(pending, delivery.MayHaveExecuted, 0), "")
		return
	}
	if conflict {
		p.settle(pending, nil, p.disposition(pending, delivery.DuplicateID, 0), "")
		return
	}
	if message.attempt == 0 && !redelivered {
		p.retryBudget.CountFresh()
	}
	p.inFlight[message.id] = pending
	switch {
	case message.defect != "":
		p.complete(pending, delivery.Unservable, nil, frontend.ResponseMetadata{Reason: message.defect})
	case !time.Now().Before(message.deadline): // the core does not hear of it
		p.complete(pending, delivery.Expired, nil, frontend.ResponseMetadata{})
	default:
		p.postToServer(func() { p.server.Submit(message.request, p.credentials[queue.Name], pending) })
	}
}

// disposition decides what becomes of a message.
func (p *Consumer) disposition(pending *pendingMessage, outcome delivery.Outcome, retryAfter time.Duration) delivery.Disposition {
	return p.retryBudget.Settle(delivery.Message{Attempt: max(pending.message.attempt, p.deduplicator.Returns(pending.message.id)), Remaining: time.Until(pending.message.deadline),
		Idempotent: p.config.IdempotentClasses[admission.Class(pending.message.request.Class)]}, pending.queue.Settlement, outcome, retryAfter, p.random.Float64())
}

// complete takes how the op of a message came out.
func (p *Consumer) complete(pending *pendingMessage, outcome delivery.Outcome, result []byte, metadata frontend.ResponseMetadata) {
	if pending.finished {
		return
	}
	pending.finished = true
	if p.draining && outcome == delivery.Rejected {
		outcome = delivery.Drained
	}
	switch outcome {
	case delivery.Rejected:
		p.flow.Rejected()
	case delivery.Succeeded, delivery.Failed:
		p.flow.Finished(p.Now(), pending.queue.Name, outcome == delivery.Failed)
	}
	disposition := p.disposition(pending, outcome, metadata.RetryAfter)
	if disposition.Delay > 0 {
		p.ScheduleAt(p.Now()+disposition.Delay, func() { p.settle(pending, result, disposition, metadata.Reason) })
		return
	}
	p.settle(pending, result, disposition, metadata.Reason)
}

func (p *Consumer) settle(pending *pendingMessage, result []byte, disposition delivery.Disposition, reason string) {
	delete(p.inFlight, pending.message.id)
	if !disposition.Reply {
		tags := p.deduplicator.Returned(p.Now(), pending.message.id)
		p.counters["put-back"]++
		if p.session == nil {
			return // the broker has it back already
		}
		for _, tag := range tags {
			if disposition.Action == delivery.Reject {
				p.session.reject(pending.queue.Name, tag)
			} else {
				p.session.requeue(pending.queue.Name, tag)
			}
		}
		return
	}
	answer := pending.newReply(result, disposition.Code, reason)
	tags := p.deduplicator.Replied(p.Now(), pending.message.id, answer)
	p.publishOutcome(pending, answer, disposition, reason, tags)
}

// publishOutcome answers, copies to the dead-letter queue, and acks once both are confirmed.
func (p *Consumer) publishOutcome(pending *pendingMessage, answer *reply, disposition delivery.Disposition, reason string, tags []delivery.DeliveryTag) {
	p.counters[disposition.Code]++
	if disposition.Code != delivery.Succeeded.Code() && p.outcomeLog.Allow(disposition.Code, time.Now()) {
		slog.Info("message", "queue", pending.queue.Name, "code", disposition.Code, "why", reason, "id", truncate(string(pending.message.id)), "attempt", pending.message.attempt)
	}
	s := p.session
	if s == nil {
		return // it comes again, and finds its answer remembered
	}
	deadLetter := disposition.DeadLetter && pending.queue.DeadLetterQueue != ""
	unconfirmed := 0 // for so many confirmations
	confirmed := func() {
		if unconfirmed--; unconfirmed > 0 {
			return
		}
		p.deduplicator.ReplyConfirmed(pending.message.id)
		ack := func() {
			for _, tag := range tags {
				s.ack(pending.queue.Name, tag)
			}
		}
		if executedOutcomes[disposition.Code] {
			ack()
		} else {
			p.paceAck(ack)
		}
	}
	if deadLetter {
		unconfirmed++
	}
	if answer.replyTo != "" {
		unconfirmed++
		s.publishReply(answer, confirmed)
	}
	if deadLetter {
		s.publishDeadLetter(pending, disposition.Code, reason, confirmed)
	}
	if unconfirmed == 0 {
		confirmed()
	}
}

// executedOutcomes are the outcomes of messages that were runs; the others never were.
var executedOutcomes = map[string]bool{delivery.Succeeded.Code(): true, delivery.Failed.Code(): true}

// ackPaceInterval is how often paced acks go out: some at a time, as each waking costs as much as a message.
const ackPaceInterval = 10 * time.Millisecond

// paceAck acks a message that never became an op. Danger: a flood of such, as fast as broker and core can go, leaves no time for the
// callers who wait on a connection. Each is answered at once; the broker sends more only as they are acked.
func (p *Consumer) paceAck(step func()) {
	p.pacedAcks = append(p.pacedAcks, step)
	if len(p.pacedAcks) == 1 {
		p.ScheduleAt(p.Now()+ackPaceInterval, p.releasePacedAcks)
	}
}

func (p *Consumer) releasePacedAcks() {
	n := min(len(p.pacedAcks), max(1, int(ackPaceInterval.Seconds()*float64(p.config.UnstartedRate))))
	if p.draining {
		n = len(p.pacedAcks)
	}
	for _, step := range p.pacedAcks[:n] {
		step()
	}
	p.pacedAcks = append(p.pacedAcks[:0], p.pacedAcks[n:]...)
	if len(p.pacedAcks) > 0 {
		p.ScheduleAt(p.Now()+ackPaceInterval, p.releasePacedAcks)
	}
}

// truncate bounds what a message can write into the log.
func truncate(s string) string { return s[:min(len(s), 64)] }

// reply is an answer as it is published.
type reply struct {
	replyTo, correlationID, outcome, reason string
	messageID                               string // the message's id
	body                                    []byte
}

func (j *pendingMessage) newReply(result []byte, outcome, reason string) *reply {
	return &reply{replyTo: j.message.replyTo, correlationID: j.message.correlationID, outcome: outcome, reason: reason, messageID: string(j.message.id), body: result}
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

// The rest is front.Owed, called on the core's loop.

func (j *pendingMessage) report(outcome delivery.Outcome, result []byte, metadata frontend.ResponseMetadata) {
	if result != nil {
		result = append(make([]byte, 0, len(result)), result...)
	}
	j.consumer.Post(func() { j.consumer.complete(j, outcome, result, metadata) })
}

func (j *pendingMessage) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	j.report(delivery.Succeeded, result, metadata)
}
func (j *pendingMessage) Reject(metadata frontend.ResponseMetadata) {
	j.report(delivery.Rejected, nil, metadata)
}
func (j *pendingMessage) Fail(metadata frontend.ResponseMetadata) {
	j.report(delivery.Failed, nil, metadata)
}
func (j *pendingMessage) Done() {}

func (j *pendingMessage) RejectPermanently(code frontend.RejectionCode, metadata frontend.ResponseMetadata) {
	if metadata.Reason != "" {
		j.report(delivery.Denied, nil, metadata)
		return
	}
	metadata.Reason = string(code)
	j.report(delivery.Unservable, nil, metadata)
}
