package amqp

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/front"
	"lanewheel/internal/identity"
	"lanewheel/internal/intake"
	"lanewheel/internal/logline"
	"lanewheel/internal/loop"
	"lanewheel/internal/watch"
)

// Told is what the operator's file tells of this front.
type Told struct {
	Brokers      []string // URLs, the preferred first
	Queues       []Queue
	InHand       int // messages over all queues
	Share        float64
	Unstarted    int // messages a second that never become ops
	Remembered   int
	RememberedIn time.Duration
	Heartbeat    time.Duration
	TLS          *tls.Config           // for amqps addresses
	Watch        string                // path of a local socket that tells how the intake stands, empty for none
	Login        string                // user:password in place of the URLs', empty for theirs
	Repeats      map[choice.Class]bool // the op types that may run twice
}

// Part is the front. All its tables belong to its own loop; the broker's client, which blocks, works beside it.
type Part struct {
	*loop.Loop
	told    Told
	core    front.Server
	hand    func(...func()) // to the core's loop
	seed    *rand.Rand
	desk    *intake.Desk
	memory  *intake.Memory
	budget  *intake.Budget
	routes  *Routes
	queues  map[intake.QueueName]*Queue
	badges  map[intake.QueueName]*identity.Credential // belong to the core's loop
	jobs    map[intake.MessageID]*job                 // in hand
	session *session                                  // nil while there is none
	gen     uint64
	asking  bool // for the core's load
	leaving bool
	last    time.Duration // when all has to be over
	closed  chan struct{}
	tally   logline.Sampler[string]
	counts  map[string]uint64 // by outcome, and what else happens
	slow    []func()          // acks that are paced
	said    time.Duration
	moved   uint64
}

// job is one message in hand.
type job struct {
	part  *Part
	queue *Queue
	msg   Message
	over  bool // its outcome has come
}

// New makes the front; it consumes once Start is called. hand gives calls to the core's loop.
func New(told Told, core front.Server, hand func(...func()), seed uint64) *Part {
	p := &Part{Loop: loop.New(1 << 16), told: told, core: core, hand: hand, seed: rand.New(rand.NewPCG(seed, 1)),
		memory: intake.NewMemory(told.Remembered, told.RememberedIn), budget: intake.NewBudget(told.Share),
		queues: map[intake.QueueName]*Queue{}, badges: map[intake.QueueName]*identity.Credential{},
		jobs: map[intake.MessageID]*job{}, closed: make(chan struct{}), counts: map[string]uint64{}}
	var queues []intake.Queue
	for i := range told.Queues {
		q := &told.Queues[i]
		p.queues[q.Name] = q
		p.badges[q.Name] = &identity.Credential{ConfiguredIdentity: q.Identity}
		queues = append(queues, q.Queue)
	}
	p.desk = intake.NewDesk(queues, told.InHand)
	p.routes = NewRoutes(told.Brokers, p.seed.Float64)
	return p
}

// Start begins to consume.
func (p *Part) Start() {
	if p.told.Watch != "" {
		watch.Serve(p.told.Watch, p.closed, p.show)
	}
	p.Post(func() {
		p.connect()
		p.look()
	})
	go p.Run(func() {
		if p.session != nil {
			p.session.flush()
		}
	})
}

// Drain is the notice to drain: consuming stops at once; what was not started goes back, what runs is answered, and all is
// closed by last, a time from now.
func (p *Part) Drain(last time.Duration) {
	p.Post(func() {
		if p.leaving {
			return
		}
		p.leaving, p.last = true, p.Now()+last
		p.apply()
		p.part()
	})
}

// Drained tells whether all is over.
func (p *Part) Drained() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}

// part ends once nothing is in hand, or at the last moment; what is left then goes back with the channels.
func (p *Part) part() {
	s := p.session
	if (len(p.jobs)+len(p.slow) == 0 && (s == nil || s.idle())) || p.Now() >= p.last {
		p.say()
		if s != nil {
			s.close("stopped")
		}
		for len(p.jobs) > 0 { // their ops are the core's to end; nobody here waits any more
			for id := range p.jobs {
				delete(p.jobs, id)
			}
		}
		wait := func() {
			p.Quit()
			close(p.closed)
		}
		if s == nil {
			wait()
			return
		}
		s.whenClosed(wait)
		return
	}
	p.ScheduleAt(p.Now()+5*time.Millisecond, p.part)
}

// look asks the core how it stands, and goes by it.
func (p *Part) look() {
	if p.asking {
		return
	}
	p.asking = true
	p.hand(func() {
		load := p.core.Load()
		p.Post(func() {
			p.asking = false
			load.Draining = load.Draining || p.leaving
			was := p.desk.Closed()
			p.desk.Look(p.Now(), load, p.session != nil && p.session.blocked)
			if is := p.desk.Closed(); is != was {
				slog.Info("intake", "was", was, "is", is, "in_hand", p.desk.Hand())
			}
			p.apply()
			p.sweep()
			if !p.HasQuit() {
				p.ScheduleAt(p.Now()+intake.Every, p.look)
			}
		})
	})
}

// apply has the session take as much from each queue as the desk allows.
func (p *Part) apply() {
	if p.session == nil {
		return
	}
	for _, q := range p.queues {
		limit := p.desk.Limit(q.Name)
		if p.leaving {
			limit = 0
		}
		p.session.limit(q.Name, limit)
	}
}

// came takes one delivery, read beside the loop.
func (p *Part) came(q *Queue, m Message, tag intake.Tag, redelivered bool) {
	if p.session == nil || p.session.has(q.Name, tag) == nil {
		return // lost meanwhile; it comes again
	}
	p.desk.Taken(q.Name)
	p.session.took(q.Name, tag)
	if p.leaving {
		p.counts["returned"]++
		p.session.requeue(q.Name, tag)
		return
	}
	twice := p.told.Repeats[choice.Class(m.Ask.Class)]
	step, answer := p.memory.Came(p.Now(), m.ID, m.Digest, tag, redelivered, twice)
	clash := step == intake.Clash
	if clash { // it is known by what it says, too
		m.ID = intake.MessageID(fmt.Sprintf("%s#%x", m.ID, m.Digest))
		step, answer = p.memory.Came(p.Now(), m.ID, m.Digest, tag, false, true)
	}
	j := &job{part: p, queue: q, msg: m}
	switch step {
	case intake.Join: // in hand already; the delivery is settled with it
		p.counts["joined"]++
		return
	case intake.Done:
		p.counts["repeated"]++
		p.session.ack(q.Name, tag)
		return
	case intake.Again:
		p.counts["answered-again"]++
		if a, is := answer.(*answering); is {
			s := p.session
			s.answer(a, func() {
				p.memory.Confirmed(m.ID)
				s.ack(q.Name, tag)
			})
			return
		}
		p.session.ack(q.Name, tag)
		return
	case intake.Unknown:
		p.settle(j, nil, p.fate(j, intake.MayHaveRun, 0), "")
		return
	}
	if clash {
		p.settle(j, nil, p.fate(j, intake.Twice, 0), "")
		return
	}
	if m.Attempt == 0 && !redelivered {
		p.budget.Fresh()
	}
	p.jobs[m.ID] = j
	switch {
	case m.Bad != "":
		p.outcome(j, intake.Unservable, nil, front.ResponseMetadata{Reason: m.Bad})
	case !time.Now().Before(m.Due): // the core does not hear of it
		p.outcome(j, intake.PastDue, nil, front.ResponseMetadata{})
	default:
		p.hand(func() { p.core.Submit(m.Ask, p.badges[q.Name], j) })
	}
}

// fate decides what becomes of a message.
func (p *Part) fate(j *job, how intake.Outcome, after time.Duration) intake.Fate {
	return p.budget.Settle(intake.Message{Attempt: max(j.msg.Attempt, p.memory.Backs(j.msg.ID)), Left: time.Until(j.msg.Due),
		Twice: p.told.Repeats[choice.Class(j.msg.Ask.Class)]}, j.queue.Told, how, after, p.seed.Float64())
}

// outcome takes how the op of a message came out.
func (p *Part) outcome(j *job, how intake.Outcome, result []byte, with front.ResponseMetadata) {
	if j.over {
		return
	}
	j.over = true
	if p.leaving && how == intake.Nacked {
		how = intake.Drained
	}
	switch how {
	case intake.Nacked:
		p.desk.Nacked()
	case intake.Acked, intake.Failed:
		p.desk.Ended(p.Now(), j.queue.Name, how == intake.Failed)
	}
	fate := p.fate(j, how, with.RetryAfter)
	if fate.Wait > 0 {
		p.ScheduleAt(p.Now()+fate.Wait, func() { p.settle(j, result, fate, with.Reason) })
		return
	}
	p.settle(j, result, fate, with.Reason)
}

func (p *Part) settle(j *job, result []byte, fate intake.Fate, why string) {
	delete(p.jobs, j.msg.ID)
	if !fate.Answer {
		tags := p.memory.PutBack(p.Now(), j.msg.ID)
		p.counts["put-back"]++
		if p.session == nil {
			return // the broker has it back already
		}
		for _, tag := range tags {
			if fate.Then == intake.Reject {
				p.session.reject(j.queue.Name, tag)
			} else {
				p.session.requeue(j.queue.Name, tag)
			}
		}
		return
	}
	a := j.answering(result, fate.Word, why)
	tags := p.memory.Answered(p.Now(), j.msg.ID, a)
	p.finish(j, a, fate, why, tags)
}

// finish answers, copies to the dead-letter queue, and acks once both are confirmed.
func (p *Part) finish(j *job, a *answering, fate intake.Fate, why string, tags []intake.Tag) {
	p.counts[fate.Word]++
	if fate.Word != intake.Acked.Word() && p.tally.Allow(fate.Word, time.Now()) {
		slog.Info("message", "queue", j.queue.Name, "code", fate.Word, "why", why, "id", clip(string(j.msg.ID)), "attempt", j.msg.Attempt)
	}
	s := p.session
	if s == nil {
		return // it comes again, and finds its answer remembered
	}
	dead := fate.Dead && j.queue.Dead != ""
	wait := 0 // for so many confirmations
	confirmed := func() {
		if wait--; wait > 0 {
			return
		}
		p.memory.Confirmed(j.msg.ID)
		ack := func() {
			for _, tag := range tags {
				s.ack(j.queue.Name, tag)
			}
		}
		if ran[fate.Word] {
			ack()
		} else {
			p.paced(ack)
		}
	}
	if dead {
		wait++
	}
	if a.to != "" {
		wait++
		s.answer(a, confirmed)
	}
	if dead {
		s.dead(j, fate.Word, why, confirmed)
	}
	if wait == 0 {
		confirmed()
	}
}

// ran are the outcomes of messages that were runs; the others never were.
var ran = map[string]bool{intake.Acked.Word(): true, intake.Failed.Word(): true}

// paceTick is how often paced acks go out: some at a time, as each waking costs as much as a message.
const paceTick = 10 * time.Millisecond

// paced acks a message that never became an op. Danger: a flood of such, as fast as broker and core can go, leaves no time for the
// callers who wait on a connection. Each is answered at once; the broker sends more only as they are acked.
func (p *Part) paced(step func()) {
	p.slow = append(p.slow, step)
	if len(p.slow) == 1 {
		p.ScheduleAt(p.Now()+paceTick, p.release)
	}
}

func (p *Part) release() {
	n := min(len(p.slow), max(1, int(paceTick.Seconds()*float64(p.told.Unstarted))))
	if p.leaving {
		n = len(p.slow)
	}
	for _, step := range p.slow[:n] {
		step()
	}
	p.slow = append(p.slow[:0], p.slow[n:]...)
	if len(p.slow) > 0 {
		p.ScheduleAt(p.Now()+paceTick, p.release)
	}
}

// clip bounds what a message can write into the log.
func clip(s string) string { return s[:min(len(s), 64)] }

// answering is an answer as it is published.
type answering struct {
	to, id, word, why string
	msg               string // the message's id
	body              []byte
}

func (j *job) answering(result []byte, word, why string) *answering {
	return &answering{to: j.msg.ReplyTo, id: j.msg.Reply, word: word, why: why, msg: string(j.msg.ID), body: result}
}

// lost hears that a session's connection is gone: its deliveries come again, here or at a peer, and what runs goes on.
func (p *Part) lost(s *session, code string) {
	if p.session != s {
		return
	}
	p.session = nil
	p.routes.Down(p.Now(), s.addr, code)
	for name := range p.queues {
		p.desk.Lost(name)
	}
	if !p.leaving {
		p.connect()
	}
}

// connect looks for a broker.
func (p *Part) connect() {
	if p.leaving || p.session != nil {
		return
	}
	addr, wait := p.routes.Pick(p.Now())
	if wait > 0 {
		p.ScheduleAt(p.Now()+wait, p.connect)
		return
	}
	p.gen++
	p.open(addr, p.gen, func(s *session, code string) {
		if code != "" {
			p.routes.Down(p.Now(), addr, code)
			if p.tally.Allow("broker "+code, time.Now()) {
				slog.Warn("broker", "addr", host(addr), "code", code)
			}
			p.connect()
			return
		}
		if p.leaving {
			s.close("stopped")
			return
		}
		p.session = s
		p.routes.Up(p.Now(), addr)
		slog.Info("broker", "addr", host(addr), "code", "consuming", "connection", s.no)
		p.apply()
	})
}

// sweep does what is due now and then.
func (p *Part) sweep() {
	p.tally.FlushSuppressed(time.Now(), func(kind string, more int) { slog.Info("messages", "code", kind, "more", more) })
	if p.session != nil && !p.leaving && p.routes.Return(p.Now()) && len(p.jobs) == 0 {
		p.session.close("returning")
	}
	const often = time.Minute
	if p.Now()-p.said >= often {
		p.said = p.Now()
		p.say()
	}
}

// say leaves a line with the counters, if they have moved since the last one.
func (p *Part) say() {
	var all []any
	sum := uint64(0)
	for _, name := range sorted(p.counts) {
		sum += p.counts[name]
		all = append(all, name, p.counts[name])
	}
	if sum == p.moved {
		return
	}
	p.moved = sum
	slog.Info("queues", append([]any{"in_hand", len(p.jobs), "known", p.memory.Len()}, all...)...)
}

// The rest is front.Owed, called on the core's loop.

func (j *job) tell(how intake.Outcome, result []byte, with front.ResponseMetadata) {
	if result != nil {
		result = append(make([]byte, 0, len(result)), result...)
	}
	j.part.Post(func() { j.part.outcome(j, how, result, with) })
}

func (j *job) Succeed(result []byte, with front.ResponseMetadata) { j.tell(intake.Acked, result, with) }
func (j *job) Reject(with front.ResponseMetadata)                 { j.tell(intake.Nacked, nil, with) }
func (j *job) Fail(with front.ResponseMetadata)                   { j.tell(intake.Failed, nil, with) }
func (j *job) Done()                                              {}

func (j *job) RejectPermanently(code string, with front.ResponseMetadata) {
	if with.Reason != "" {
		j.tell(intake.Denied, nil, with)
		return
	}
	with.Reason = code
	j.tell(intake.Unservable, nil, with)
}
