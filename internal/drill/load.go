package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"lanewheel/internal/fake"
)

const (
	// requestTimeout is the request timeout in fake.Settings, plus a tolerance of half a second for a busy machine.
	requestTimeout = 3*time.Second + 500*time.Millisecond

	// maxOutstanding is the protocol's limit of requests in progress on one connection. Clients drop requests above it.
	maxOutstanding = 32

	clientDialTimeout = 200 * time.Millisecond
	clientDialDelay   = 20 * time.Millisecond // after a failed connection attempt

	// A connection is kept open for a random time: at least minConnectionAge, and up to connectionAgeSpread longer.
	minConnectionAge    = 5 * time.Second
	connectionAgeSpread = 10 * time.Second

	responseCheckInterval = 5 * time.Millisecond
)

// requestOutcome is the outcome of a request as its client saw it. The values are stored in records.
type requestOutcome string

const (
	outcomeNone      requestOutcome = "" // no response was received
	outcomeSucceeded requestOutcome = "acked"
	outcomeRejected  requestOutcome = "Busy"
	outcomeFailed    requestOutcome = "Failed"
	outcomeBroken    requestOutcome = "broken" // the connection ended before a response
)

// requestOutcomes lists all outcomes in the order in which they are printed.
var requestOutcomes = []requestOutcome{
	outcomeSucceeded, outcomeRejected, outcomeFailed, outcomeBroken, outcomeNone,
}

// classPay is the only class of requests that is not idempotent.
const classPay = "pay"

var classes = []string{"view", classPay, "list"}

// issuedRequest is a request as its client and the runtimes saw it.
type issuedRequest struct {
	id         string
	class      string
	process    int // index of the process that the client sent it to
	sentAt     time.Time
	answeredAt time.Time // time of the last response, or of the end of the connection
	outcome    requestOutcome
	responses  int
	executions []execution
}

// execution is a run of a request.
type execution struct {
	process int // index
	at      time.Time
}

// requestLog records every request of a drill.
type requestLog struct {
	mu       sync.Mutex // guards the fields below and the requests that they refer to
	byID     map[string]*issuedRequest
	requests []*issuedRequest
}

func (l *requestLog) recordExecution(p *process, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request := l.byID[id]; request != nil {
		request.executions = append(request.executions, execution{p.index, time.Now()})
	}
}

// generateLoad sends requests at the script's rate until the given time, without waiting for earlier responses. It
// returns when no client waits for responses any longer.
func (l *requestLog) generateLoad(c *cluster, until time.Time) {
	var clients sync.WaitGroup
	for number := range c.script.Clients {
		client := &loadClient{
			cluster: c,
			log:     l,
			number:  number,
			random:  rand.New(rand.NewPCG(c.script.RandomSeed, 1000+uint64(number))),
			nextAt:  time.Now(),
			until:   until,
		}
		clients.Go(client.run)
	}
	clients.Wait()
}

// loadClient sends requests over one connection at a time. Each connection is to a process drawn at random.
type loadClient struct {
	cluster  *cluster
	log      *requestLog
	number   int
	random   *rand.Rand
	nextAt   time.Time // when the next request is due
	until    time.Time
	requests int // sent or dropped so far
}

func (c *loadClient) run() {
	dialer := net.Dialer{Timeout: clientDialTimeout}
	targets := c.cluster.clientTargets()
	for c.nextAt.Before(c.until) {
		target := targets[c.random.IntN(len(targets))]
		addr := net.JoinHostPort(target.host, strconv.Itoa(clientPort))
		connection, err := dialer.DialContext(context.Background(), "tcp", addr)
		if err != nil {
			time.Sleep(clientDialDelay)
			continue
		}
		session := &loadSession{
			client:   c,
			target:   target,
			fake:     fake.NewClient(connection),
			inFlight: map[int]*issuedRequest{},
			ended:    make(chan struct{}),
		}
		go session.read()
		session.run()
	}
}

// loadSession is one connection of a client.
type loadSession struct {
	client   *loadClient
	target   *process
	fake     *fake.Client
	ended    chan struct{}          // closed when read has returned
	inFlight map[int]*issuedRequest // sent on this connection, by number; guarded by the log's mu
}

// run sends requests until the connection has reached its maximum age or has ended. It then waits for the responses and
// closes the connection.
func (s *loadSession) run() {
	c := s.client
	maxAge := minConnectionAge + time.Duration(c.random.Float64()*float64(connectionAgeSpread))
	for reconnectAt := c.nextAt.Add(maxAge); c.nextAt.Before(c.until) && c.nextAt.Before(reconnectAt); {
		c.requests++
		if !s.awaitNext() || !s.send(c.requests) {
			break
		}
	}
	s.awaitResponses()
	s.fake.Close()
	<-s.ended
}

// awaitNext waits until the next request is due. It returns false if the connection ends before that.
func (s *loadSession) awaitNext() bool {
	c := s.client
	script := c.cluster.script
	mean := float64(script.Clients) / script.RequestRate * float64(time.Second)
	c.nextAt = c.nextAt.Add(time.Duration(c.random.ExpFloat64() * mean / c.cluster.currentLoadFactor()))
	select {
	case <-s.ended:
		return false
	case <-time.After(time.Until(c.nextAt)):
		return true
	}
}

// send sends a request, or drops it if too many are outstanding. It returns false if the connection has ended.
func (s *loadSession) send(number int) bool {
	c := s.client
	request := &issuedRequest{
		id:      fmt.Sprintf("%08x%08x", c.number, number),
		class:   classes[c.random.IntN(len(classes))],
		process: s.target.index,
		sentAt:  time.Now(),
	}
	if !s.track(number, request) {
		return true
	}
	return trySend(s.fake, fake.NewRequest(number, request.class, request.id, []byte(request.id),
		"from", strconv.Itoa(c.number), "kb", "1", "rank", "0.5", "cost", "5"))
}

// track records a request that is about to be sent. It returns false, and records nothing, if too many are outstanding.
func (s *loadSession) track(number int, request *issuedRequest) bool {
	log := s.client.log
	log.mu.Lock()
	defer log.mu.Unlock()
	outstanding := 0
	for _, other := range s.inFlight {
		if other.responses == 0 {
			outstanding++
		}
	}
	if outstanding >= maxOutstanding {
		return false
	}
	s.inFlight[number] = request
	log.byID[request.id] = request
	log.requests = append(log.requests, request)
	return true
}

// trySend sends a message and reports whether it was sent. It recovers from the panic of the fake client on a
// connection that has ended.
func trySend(client *fake.Client, message []any) (sent bool) {
	defer func() { sent = recover() == nil }()
	client.Send(message)
	return true
}

// read records the responses until the connection ends.
func (s *loadSession) read() {
	defer close(s.ended)
	for {
		response, err := s.fake.NextResponse()
		if err != nil {
			s.recordDisconnect()
			return
		}
		s.recordResponse(response)
	}
}

func (s *loadSession) recordResponse(response fake.Response) {
	s.client.log.mu.Lock()
	defer s.client.log.mu.Unlock()
	request := s.inFlight[response.Number]
	if request == nil {
		return
	}
	request.responses++
	request.answeredAt = time.Now()
	request.outcome = requestOutcome(response.Error)
	if response.Error == "" {
		request.outcome = outcomeSucceeded
	}
}

// recordDisconnect records the end of the connection as the outcome of all requests without a response.
func (s *loadSession) recordDisconnect() {
	s.client.log.mu.Lock()
	defer s.client.log.mu.Unlock()
	for _, request := range s.inFlight {
		if request.responses == 0 {
			request.outcome = outcomeBroken
			request.answeredAt = time.Now()
		}
	}
}

// awaitResponses waits until all requests are answered, the connection has ended or requestTimeout has passed.
func (s *loadSession) awaitResponses() {
	for deadline := time.Now().Add(requestTimeout); time.Now().Before(deadline) && !s.allAnswered(); {
		select {
		case <-s.ended:
			return
		case <-time.After(responseCheckInterval):
		}
	}
}

func (s *loadSession) allAnswered() bool {
	s.client.log.mu.Lock()
	defer s.client.log.mu.Unlock()
	for _, request := range s.inFlight {
		if request.responses == 0 && request.outcome == outcomeNone {
			return false
		}
	}
	return true
}
