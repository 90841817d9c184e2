// Package forward gives requests to other processes of the fleet and returns the result of each, once and by its
// deadline. A proxy forwards all that it takes, an instance what it rejects itself. Which endpoint a request goes
// to, and whether another is tried, is decided by internal/balancer.
package forward

import (
	"math/rand/v2"
	"net"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/membership"
	"lanewheel/internal/rpc"
	"lanewheel/internal/transport"
)

// Config is what forwarding goes by.
type Config struct {
	Balancer               balancer.Config
	ProbesPerRequest       float64       // endpoints that are probed for their load, for each attempt
	ConnectionsPerEndpoint int           // at the most
	SubsetSize             int           // endpoints that we keep to; 0: all
	IdleTimeout            time.Duration // a connection that carries nothing for so long is closed
	LocalAddress           string        // address to dial from; empty: any
}

// LocalIP returns the address to dial from, nil for any.
func (c Config) LocalIP() net.IP { return net.ParseIP(c.LocalAddress) }

// ProbeFunc asks an endpoint for its load. done may never be called, or on any goroutine.
type ProbeFunc func(name membership.Name, done func(load float64, age time.Duration))

// Forwarder forwards the requests of one process. All of it is owned by the event loop; its methods are called there.
type Forwarder struct {
	Balancer *balancer.Balancer
	Retries  uint64 // attempts after the first one of a request, since the start

	loop        *eventloop.Loop
	net         *transport.Net
	config      Config
	random      *rand.Rand
	probeFunc   ProbeFunc // nil: nothing is probed
	probeCredit float64
	endpoints   map[balancer.EndpointName]*endpoint
	subset      subset
}

// endpoint is a process that requests are given to, with the connections there.
type endpoint struct {
	name        balancer.EndpointName
	address     string
	connections []*connection
}

// New returns a Forwarder without endpoints, which dials by net and has the loop's time.
func New(
	loop *eventloop.Loop, net *transport.Net, config Config, seed uint64, probeFunc ProbeFunc,
) *Forwarder {
	const stream = 3 // of the random numbers of a process with this seed
	return &Forwarder{
		Balancer:  balancer.New(config.Balancer),
		loop:      loop,
		net:       net,
		config:    config,
		random:    rand.New(rand.NewPCG(seed, stream)),
		probeFunc: probeFunc,
		endpoints: map[balancer.EndpointName]*endpoint{},
	}
}

// Start begins to close idle connections.
func (f *Forwarder) Start() { f.closeIdle() }

// Options is how a request is forwarded.
type Options struct {
	Deadline    time.Duration // on the loop's clock; the result comes by then
	Idempotent  bool          // it may run twice
	MaxAttempts int           // endpoints that are tried one after the other; read by Forward alone
}

// Forward forwards a request and calls onDone once, by its deadline and maybe before Forward returns. The request's
// Body is copied.
func (f *Forwarder) Forward(message frontend.Request, options Options, onDone func(Result)) *Request {
	request := f.newRequest(message, options, onDone)
	f.tryNext(request)
	return request
}

// ForwardTo forwards a request to the endpoint at an index of the Balancer and to no other. Else it is as Forward.
func (f *Forwarder) ForwardTo(index int, message frontend.Request, options Options, onDone func(Result)) *Request {
	options.MaxAttempts = 1
	request := f.newRequest(message, options, onDone)
	f.tryEndpoint(request, index)
	return request
}

// tryNext gives a request to the next endpoint.
func (f *Forwarder) tryNext(request *Request) {
	index, ok := f.Balancer.Pick(f.loop.Now(), f.random.Float64, func(index int) bool {
		return request.hasTried(f.Balancer.NameAt(index))
	})
	if !ok { // each attempt before has proved that the request never ran
		request.finish(Result{LastOutcome: balancer.Rejected, NoEndpoint: true, Response: busyResponse})
		return
	}
	f.tryEndpoint(request, index)
	for f.probeCredit += f.config.ProbesPerRequest; f.probeCredit >= 1; f.probeCredit-- {
		f.Probe()
	}
}

// tryEndpoint gives a request to the endpoint at an index.
func (f *Forwarder) tryEndpoint(request *Request, index int) {
	endpoint := f.endpoints[f.Balancer.NameAt(index)]
	f.Balancer.RecordStart(f.loop.Now(), index)
	request.beginAttempt(endpoint.name)
	connection := f.pickConnection(endpoint)
	if connection == nil {
		f.finishAttempt(request, endpoint.name, busyResponse, attemptEnd{balancer.Rejected, true})
		return
	}
	request.connection = connection
	connection.lastUsed = f.loop.Now()
	if connection.established {
		connection.send(request)
	} else {
		connection.waiting = append(connection.waiting, request)
	}
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	outcome balancer.Outcome
	notSent bool // nothing of it went out
}

// finishAttempt is called when an attempt has ended: it finishes the request or has another endpoint tried.
func (f *Forwarder) finishAttempt(
	request *Request, name balancer.EndpointName, response rpc.Response, end attemptEnd,
) {
	now := f.loop.Now()
	f.Balancer.RecordOutcome(now, name, end.outcome, now-request.attemptStartedAt)
	request.connection = nil
	if request.onDone == nil {
		request.release()
		return
	}
	result := balancer.AttemptResult{
		Outcome:    end.outcome,
		NotSent:    end.notSent,
		NoFailover: response.Metadata.NoFailover,
	}
	if f.Balancer.DecideRetry(now, request.progress(), result) == balancer.RetryElsewhere {
		f.Retries++
		request.renewID()
		f.tryNext(request)
		return
	}
	request.finish(Result{LastOutcome: end.outcome, NotSent: end.notSent, Response: response})
}

// Random draws a number in [0, 1).
func (f *Forwarder) Random() float64 { return f.random.Float64() }

// Probe asks one endpoint for its load.
func (f *Forwarder) Probe() {
	index, ok := f.Balancer.PickProbe(f.loop.Now(), f.random.Float64)
	if !ok || f.probeFunc == nil {
		return
	}
	name := f.Balancer.NameAt(index)
	f.probeFunc(membership.Name(name), func(load float64, age time.Duration) {
		f.loop.Post(func() {
			if index, present := f.Balancer.IndexOf(name); present {
				f.Balancer.RecordProbe(f.loop.Now(), index, load, age)
			}
		})
	})
}
