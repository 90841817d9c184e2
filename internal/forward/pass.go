// Package forward gives ops to other processes of the fleet and tells what became of each, once and by its due time. A relay passes on all that
// it takes, an instance what it turns away. Who gets an op, and whether another is asked, is decided by internal/balancer.
package forward

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/membership"
	"lanewheel/internal/transport"
)

// Config is what passing goes by.
type Config struct {
	Balancer               balancer.Config
	ProbesPerRequest       float64       // members asked for their load, an op
	ConnectionsPerEndpoint int           // to one member
	SubsetSize             int           // members that are kept to; 0 for all
	IdleTimeout            time.Duration // a connection to a member that carries nothing for so long is closed
	LocalAddress           string        // address to dial from, empty for any
}

// LocalIP is the address to dial from, nil for any.
func (t Config) LocalIP() net.IP { return net.ParseIP(t.LocalAddress) }

// ProbeFunc asks a member how it stands; then may never be called, or on any goroutine.
type ProbeFunc func(name membership.Name, then func(load float64, age time.Duration))

// Forwarder is one process's way to the others. All of it belongs to its owner's loop.
type Forwarder struct {
	loop          *eventloop.Loop
	net           *transport.Net
	config        Config
	Balancer      *balancer.Balancer
	random        *rand.Rand
	probeFunc     ProbeFunc
	probeCredit   float64
	endpoints     map[balancer.EndpointName]*endpoint
	endpointNames []balancer.EndpointName // members, deciders and our subset, as last worked out
	peers         []balancer.EndpointName
	subset        []balancer.EndpointName
	Retries       uint64 // further tries, since the start
}

// endpoint is one whom ops are given to, with the connections there.
type endpoint struct {
	name        balancer.EndpointName
	address     string
	connections []*connection
}

// Result is what became of an op that was passed on.
type Result struct {
	LastOutcome balancer.Outcome
	NotSent     bool // nothing of it went out to who had it last, and each before proved that it never ran
	NoEndpoint  bool // there was nobody to give it to
	TimedOut    bool // its time was up
	transport.Response
}

// MayHaveRun tells whether it may have run.
func (e Result) MayHaveRun() bool {
	return e.LastOutcome != balancer.Rejected && !e.NotSent && !e.NoEndpoint
}

// Request is one op on its way.
type Request struct {
	forwarder        *Forwarder
	message          frontend.Request
	deadline         time.Duration
	idempotent       bool
	maxAttempts      int
	attempts         int
	tried            [4]balancer.EndpointName
	connection       *connection
	id               uint32
	sent             bool
	attemptStartedAt time.Duration
	deadlineTimer    *eventloop.Timer
	onDone           func(Result) // nil once it was called or nobody waits
}

// New makes a passer that knows nobody. It dials by net and has l's time.
func New(eventLoop *eventloop.Loop, net *transport.Net, config Config, seed uint64, probeFunc ProbeFunc) *Forwarder {
	return &Forwarder{loop: eventLoop, net: net, config: config, Balancer: balancer.New(config.Balancer), random: rand.New(rand.NewPCG(seed, 3)), probeFunc: probeFunc, endpoints: map[balancer.EndpointName]*endpoint{}}
}

// Start begins to look after connections that carry nothing.
func (p *Forwarder) Start() { p.closeIdle() }

// UpdateView takes a view of the fleet. Of its deciders, those in the same role as us share the members with us.
func (p *Forwarder) UpdateView(view *membership.View, role membership.Roles) {
	var endpoints []balancer.Endpoint
	addresses := map[balancer.EndpointName]string{}
	var names, peers []balancer.EndpointName
	peers = append(peers, balancer.EndpointName(view.Self.Name))
	for member := range view.All() {
		if member.Roles&role != 0 && member.State.Available() {
			peers = append(peers, balancer.EndpointName(member.Name))
		}
		// Cut off, we know no better than before: who was there is still tried. Else a suspect gets nothing.
		if member.Roles&membership.RoleServer != 0 && member.ServiceAddr != "" && (member.State.Available() || member.State == membership.StateSuspect && member.Reason != membership.ReasonFlapping && !view.LocalHealth.CanDeclareGone()) {
			candidate := balancer.Endpoint{Name: balancer.EndpointName(member.Name), Zone: member.Zone, Capacity: member.Capacity, WarmUp: member.WarmUp, WarmUpRemaining: member.WarmUpRemaining(view.PublishedAt), Suspect: member.State == membership.StateSuspect}
			endpoints = append(endpoints, candidate)
			names = append(names, candidate.Name)
			addresses[candidate.Name] = member.ServiceAddr
		}
	}
	if size := p.config.SubsetSize; size > 0 && size < len(names) {
		inSubset := map[balancer.EndpointName]bool{}
		// Danger: it is worked out for the whole fleet, so only when somebody came or went.
		if !slices.Equal(names, p.endpointNames) || !slices.Equal(peers, p.peers) {
			p.endpointNames, p.peers = names, peers
			p.subset = balancer.Subsets(peers, names, size)[balancer.EndpointName(view.Self.Name)]
		}
		for _, name := range p.subset {
			inSubset[name] = true
		}
		endpoints = slices.DeleteFunc(endpoints, func(member balancer.Endpoint) bool { return !inSubset[member.Name] })
	}
	p.Balancer.SetEndpoints(p.loop.Now(), endpoints)
	kept := map[balancer.EndpointName]bool{}
	for _, candidate := range endpoints {
		kept[candidate.Name] = true
		member := p.endpoints[candidate.Name]
		if member != nil && member.address != addresses[candidate.Name] { // a later life elsewhere
			p.removeEndpoint(member)
			member = nil
		}
		if member == nil {
			p.endpoints[candidate.Name] = &endpoint{name: candidate.Name, address: addresses[candidate.Name]}
		}
	}
	for name, member := range p.endpoints {
		if !kept[name] {
			p.removeEndpoint(member)
		}
	}
}

// removeEndpoint gives nothing new to a member; what it has in hand it may still answer.
func (p *Forwarder) removeEndpoint(removed *endpoint) {
	delete(p.endpoints, removed.name)
	for _, connection := range removed.connections {
		connection.drain()
	}
}

// Forward passes an op on, to the most members told one after the other, and calls done once, by its due time; done may be called before Give
// returns. What ask.Body points to is copied.
func (p *Forwarder) Forward(request frontend.Request, deadline time.Duration, idempotent bool, maxAttempts int, onDone func(Result)) *Request {
	forwarded := p.newRequest(request, deadline, idempotent, maxAttempts, onDone)
	p.tryNext(forwarded)
	return forwarded
}

// ForwardTo passes an op on to one member and no other.
func (p *Forwarder) ForwardTo(index int, request frontend.Request, deadline time.Duration, idempotent bool, onDone func(Result)) *Request {
	forwarded := p.newRequest(request, deadline, idempotent, 1, onDone)
	p.tryEndpoint(forwarded, index)
	return forwarded
}

func (p *Forwarder) newRequest(request frontend.Request, deadline time.Duration, idempotent bool, maxAttempts int, onDone func(Result)) *Request {
	forwarded := &Request{forwarder: p, message: request, deadline: deadline, idempotent: idempotent, maxAttempts: maxAttempts, onDone: onDone}
	forwarded.message.Body = append(p.net.Get(), request.Body...)
	// The sign that travels down: who gets an op that was passed on leaves second tries to those above it.
	forwarded.message.Hops++
	// Danger: a member that never answers. The op is answered when its time is up, whatever becomes of it below.
	forwarded.deadlineTimer = p.loop.ScheduleAt(max(p.loop.Now(), deadline), forwarded.Expire)
	return forwarded
}

// tryNext gives an op to the next member.
func (p *Forwarder) tryNext(request *Request) {
	index, found := p.Balancer.Pick(p.loop.Now(), p.random.Float64, func(index int) bool {
		name := p.Balancer.NameAt(index)
		for attempt := range min(request.attempts, len(request.tried)) {
			if request.tried[attempt] == name {
				return true
			}
		}
		return false
	})
	if !found {
		request.finish(Result{LastOutcome: balancer.Rejected, NoEndpoint: true, Response: transport.Response{Error: "Busy", Metadata: frontend.ResponseMetadata{LoadReport: -1}}}) // each try before proved that it never ran
		return
	}
	p.tryEndpoint(request, index)
	for p.probeCredit += p.config.ProbesPerRequest; p.probeCredit >= 1; p.probeCredit-- {
		p.Probe()
	}
}

// tryEndpoint gives an op to the member at a place.
func (p *Forwarder) tryEndpoint(request *Request, index int) {
	endpoint := p.endpoints[p.Balancer.NameAt(index)]
	p.Balancer.RecordStart(p.loop.Now(), index)
	if request.attempts < len(request.tried) {
		request.tried[request.attempts] = endpoint.name
	}
	request.attempts++
	request.sent = false
	request.attemptStartedAt = p.loop.Now()
	connection := endpoint.connection(p)
	if connection == nil { // all its connections are full: it has more from us than it should
		p.finishAttempt(request, endpoint.name, busyResponse, balancer.Rejected, true)
		return
	}
	request.connection = connection
	connection.lastUsed = p.loop.Now()
	if connection.established {
		connection.send(request)
	} else {
		connection.waiting = append(connection.waiting, request)
	}
}

var busyResponse, failedResponse = transport.Response{Error: "Busy", Metadata: frontend.ResponseMetadata{LoadReport: -1}}, transport.Response{Error: "Failed", Metadata: frontend.ResponseMetadata{LoadReport: -1}}

// Random draws a number from 0 to 1.
func (p *Forwarder) Random() float64 { return p.random.Float64() }

// Probe asks one member how it stands.
func (p *Forwarder) Probe() {
	index, found := p.Balancer.PickProbe(p.loop.Now(), p.random.Float64)
	if !found || p.probeFunc == nil {
		return
	}
	name := p.Balancer.NameAt(index)
	p.probeFunc(membership.Name(name), func(load float64, age time.Duration) {
		p.loop.Post(func() {
			if index, present := p.Balancer.IndexOf(name); present {
				p.Balancer.RecordProbe(p.loop.Now(), index, load, age)
			}
		})
	})
}

// finishAttempt hears how a try of an op ended, and tells it or has another member asked.
func (p *Forwarder) finishAttempt(request *Request, name balancer.EndpointName, response transport.Response, outcome balancer.Outcome, notSent bool) {
	p.Balancer.RecordOutcome(p.loop.Now(), name, outcome, p.loop.Now()-request.attemptStartedAt)
	request.connection = nil
	if request.onDone == nil {
		request.release()
		return
	}
	attempt := balancer.Attempt{
		Deadline:    request.deadline,
		Made:        request.attempts,
		MaxAttempts: request.maxAttempts,
		Idempotent:  request.idempotent,
		Forwarded:   request.message.Hops > 1,
	}
	attemptResult := balancer.AttemptResult{Outcome: outcome, NotSent: notSent, NoFailover: response.Metadata.NoFailover}
	if p.Balancer.DecideRetry(p.loop.Now(), attempt, attemptResult) == balancer.RetryElsewhere {
		p.Retries++
		// Each try has an id of its own, as the protocol wants it: an instance can't tell two tries of one op in hand apart.
		request.message.ID = fmt.Sprintf("%016x", p.random.Uint64())
		p.tryNext(request)
		return
	}
	request.finish(Result{LastOutcome: outcome, NotSent: notSent, Response: response})
}

// Expire ends an op whose time is up, or for which there is no more time.
func (o *Request) Expire() {
	if o.onDone == nil {
		return
	}
	notSent := o.connection != nil && !o.sent
	o.detach(balancer.NoResponse)
	o.finish(Result{LastOutcome: balancer.NoResponse, NotSent: notSent, TimedOut: true, Response: failedResponse})
}

// Cancel tells that nobody waits any more.
func (o *Request) Cancel() {
	if o.onDone == nil {
		return
	}
	o.onDone = nil
	// Danger: a member that takes ops and answers none looks idle. What is given up at its due time there counts against it; before that
	// it says nothing.
	outcome := balancer.Succeeded
	if o.forwarder.loop.Now() >= o.deadline {
		outcome = balancer.NoResponse
	}
	o.detach(outcome)
	o.release()
}

// finish tells what became of it, once.
func (o *Request) finish(result Result) {
	onDone := o.onDone
	o.onDone = nil
	if onDone != nil {
		onDone(result)
	}
	o.release()
}

// detach tells the member that nobody waits any more, and takes the op off the connection. What is not lost there counts as nothing.
func (o *Request) detach(outcome balancer.Outcome) {
	connection := o.connection
	if connection == nil {
		return
	}
	o.connection = nil
	if o.sent {
		delete(connection.inFlight, o.id)
		connection.client.Cancel(o.id)
	} else if index := slices.Index(connection.waiting, o); index >= 0 {
		connection.waiting = slices.Delete(connection.waiting, index, index+1)
	}
	if outcome == balancer.NoResponse {
		o.forwarder.Balancer.RecordOutcome(o.forwarder.loop.Now(), connection.endpoint.name, outcome, 0)
	} else {
		o.forwarder.Balancer.RecordCancel(connection.endpoint.name)
	}
	connection.closeIfDrained()
}

// release forgets an op that is told of and nowhere any more.
func (o *Request) release() {
	if o.onDone != nil || o.connection != nil || o.message.Body == nil {
		return
	}
	o.deadlineTimer.Stop()
	o.forwarder.net.Put(o.message.Body)
	o.message.Body = nil
}
