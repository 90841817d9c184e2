// Package forward sends requests to other processes of the fleet and returns the result of each request exactly once,
// by its deadline. A proxy forwards all requests that it accepts; an instance forwards requests that it rejects itself.
// internal/balancer decides which endpoint receives a request and whether another endpoint is tried.
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

// Config is the configuration of a Forwarder.
type Config struct {
	Balancer               balancer.Config
	ProbesPerRequest       float64       // average number of endpoints probed for their load per attempt
	ConnectionsPerEndpoint int           // maximum number of connections to one endpoint
	SubsetSize             int           // maximum number of endpoints that this process uses; 0: all
	IdleTimeout            time.Duration // idle time after which a connection is closed
	LocalAddress           string        // IP address to dial from; empty: any
}

// LocalIP returns the IP address to dial from. It returns nil if any address may be used.
func (c Config) LocalIP() net.IP { return net.ParseIP(c.LocalAddress) }

// ProbeFunc requests the load of an endpoint. It calls done with the load, in requests in progress per core, and the
// age of that value. done may be called on any goroutine, or never.
type ProbeFunc func(name membership.Name, done func(load float64, age time.Duration))

// Forwarder forwards the requests of one process. It is owned by the event loop: its fields and methods must be used
// only there.
type Forwarder struct {
	Balancer *balancer.Balancer
	Retries  uint64 // number of attempts after the first one of a request, since the process started

	loop        *eventloop.Loop
	net         *transport.Net
	config      Config
	random      *rand.Rand
	probeFunc   ProbeFunc // nil: no endpoint is probed
	probeCredit float64   // probes that are due; fractions are carried over to the next attempt
	endpoints   map[balancer.EndpointName]*endpoint
	subset      subset
}

// endpoint is a process to which requests are forwarded, with the connections to it.
type endpoint struct {
	name        balancer.EndpointName
	address     string
	connections []*connection
}

// New returns a Forwarder without endpoints. It opens connections through net and uses the clock of loop. seed seeds
// its random numbers. probeFunc may be nil.
func New(
	loop *eventloop.Loop, net *transport.Net, config Config, seed uint64, probeFunc ProbeFunc,
) *Forwarder {
	const stream = 3 // differs from the streams of the other random number generators that share the seed
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

// Start starts the periodic closing of idle connections.
func (f *Forwarder) Start() { f.closeIdle() }

// Options specifies how a request is forwarded.
type Options struct {
	Deadline    time.Duration // time on the loop's clock by which onDone is called
	Idempotent  bool          // the request may run twice
	MaxAttempts int           // maximum number of endpoints tried one after the other; ForwardTo ignores it
}

// Forward forwards a request. It calls onDone exactly once, by the deadline and possibly before Forward returns, unless
// the request is canceled. The request's Body is copied.
func (f *Forwarder) Forward(message frontend.Request, options Options, onDone func(Result)) *Request {
	request := f.newRequest(message, options, onDone)
	if !request.finishUnsendable() {
		f.tryNext(request)
	}
	return request
}

// ForwardTo is like Forward, but it sends the request only to the endpoint with this index in the Balancer.
func (f *Forwarder) ForwardTo(index int, message frontend.Request, options Options, onDone func(Result)) *Request {
	options.MaxAttempts = 1
	request := f.newRequest(message, options, onDone)
	if !request.finishUnsendable() {
		f.tryEndpoint(request, index)
	}
	return request
}

// ForwardToName is like ForwardTo, for the endpoint with a name. It returns nil and does not call onDone if there is no
// such endpoint.
func (f *Forwarder) ForwardToName(
	name balancer.EndpointName, message frontend.Request, options Options, onDone func(Result),
) *Request {
	index, found := f.Balancer.IndexOf(name)
	if !found {
		return nil
	}
	return f.ForwardTo(index, message, options, onDone)
}

// tryNext starts an attempt at the endpoint that the Balancer picks among those not recorded as tried, and then sends
// the probes that are due. If there is no such endpoint, it finishes the request.
func (f *Forwarder) tryNext(request *Request) {
	index, ok := f.Balancer.Pick(f.loop.Now(), f.random.Float64, func(index int) bool {
		return request.hasTried(f.Balancer.NameAt(index))
	})
	if !ok {
		// Each earlier attempt permitted a retry: the request has not run or is idempotent, so the caller may retry it, too.
		request.finish(Result{LastOutcome: balancer.Rejected, NoEndpoint: true, Response: busyResponse})
		return
	}
	f.tryEndpoint(request, index)
	for f.probeCredit += f.config.ProbesPerRequest; f.probeCredit >= 1; f.probeCredit-- {
		f.Probe()
	}
}

// tryEndpoint starts an attempt at the endpoint with this index in the Balancer.
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

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	outcome balancer.Outcome
	notSent bool // nothing of the request was sent
}

// finishAttempt is called when an attempt has ended. It records the outcome. It then finishes the request or tries
// another endpoint, or releases the request if it has already been finished.
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

// Random returns a random number in [0, 1).
func (f *Forwarder) Random() float64 { return f.random.Float64() }

// Probe requests the load of one endpoint, which the Balancer picks, and records the reply in the Balancer.
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
