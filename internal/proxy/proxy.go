// Package proxy receives requests in the client protocol, forwards each of them to one of many instances and returns
// exactly one response per request. It stores the requests in flight and, of those that must not run twice, where they
// may have run. internal/balancer decides which instance receives a request and whether another instance is tried.
package proxy

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/clients"
	"lanewheel/internal/discovery"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/forward"
	"lanewheel/internal/frontend"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
	"lanewheel/internal/transport"
)

// The memory is divided in the same way as that of an instance.
const (
	bodyDivisor   = 4 // 1/bodyDivisor of the buffers is for the bodies of requests in flight
	recordDivisor = 8 // 1/recordDivisor of the memory is for the records of requests that must not run twice
	readDivisor   = 8 // 1/readDivisor of the buffers is for data that was read and not yet processed
	unreadDivisor = 8 // 1/unreadDivisor of the memory is for data that was sent to clients and not yet read by them
)

// Config is the configuration of a Proxy, in addition to the platform's configuration.
type Config struct {
	forward.Config
	MaxInFlight int           // maximum number of requests in flight
	DrainGrace  time.Duration // time after the notice to drain during which requests are still forwarded
	RetryAfter  time.Duration // Retry-After of rejections for which no instance was available; 0: none
}

// Proxy is a process that forwards requests. It is owned by its event loop: except for Attach and Serve, the methods
// that Proxy defines must be called only there. Post may be called on any goroutine.
type Proxy struct {
	*eventloop.Loop
	config      Config
	platform    server.Config
	net         *transport.Net
	buffers     *server.BufferPool
	clients     *clients.Frontend
	forwarder   *forward.Forwarder
	classes     map[string]classConfig
	inFlight    map[string]*proxiedRequest // by the ID that the client chose
	attempts    attemptTable
	frontends   []frontend.Frontend // attached in addition to clients
	registry    *discovery.Registry // nil: none is configured, or it has not been reached yet
	draining    bool
	acceptUntil time.Duration // while draining: requests that arrive at or after this time are rejected
	counters    counters
}

// counters counts requests by their results since the process started.
type counters struct {
	received   uint64
	succeeded  uint64
	rejected   uint64
	failed     uint64 // includes noResponse
	noResponse uint64
	timedOut   uint64 // counted under another result, too
	noEndpoint uint64
}

// classConfig is the configuration of a class of requests.
type classConfig struct {
	idempotency       admission.Idempotency
	idempotencyWindow time.Duration // of a class that is idempotent by key
	timeout           time.Duration // of requests that have no shorter timeout of their own
}

// Listen returns a Proxy that listens on the platform's address. It uses the same settings of the platform's
// configuration as an instance, except for those of the runtime and the database. If probe is nil, no instance is
// probed. Listen returns an error if the address cannot be listened on.
func Listen(platform server.Config, config Config, probe forward.ProbeFunc) (*Proxy, error) {
	memoryBytes := int(platform.MemoryMB * (1 << 20))
	bufferCount := memoryBytes / transport.BufferSize
	config.MaxInFlight = min(config.MaxInFlight, bufferCount/bodyDivisor)
	p := &Proxy{
		Loop:     eventloop.New(bufferCount / readDivisor),
		config:   config,
		platform: platform,
		buffers:  &server.BufferPool{},
		classes:  classConfigs(platform.Settings),
		inFlight: map[string]*proxiedRequest{},
	}
	p.attempts = attemptTable{
		clock:   p,
		limit:   memoryBytes / recordDivisor / attemptRecordBytes,
		records: map[attemptKey]*attemptRecord{},
	}
	p.net = &transport.Net{
		BufferPool:     p.buffers,
		Post:           p.Post,
		PostRead:       p.PostBlocking,
		OnAccept:       func(connection *transport.Conn) { p.clients.Accept(connection) },
		OnFull:         func() { p.clients.EvictIdle() },
		MaxAccepted:    int64(platform.MaxDescriptors) / 2,
		MaxDescriptors: platform.MaxDescriptors,
		MaxUnread:      int64(memoryBytes) / unreadDivisor,
		LocalIP:        config.LocalIP(),
	}
	p.net.ReadTokens.Store(true) // the proxy forwards tokens unchecked; the instances check them
	p.net.ReadHops.Store(true)
	p.forwarder = forward.New(p.Loop, p.net, config.Config, platform.Seed, probe)
	idleTimeout := platform.Settings.MaxIdleTimeout // 0 if it is not set
	p.clients = clients.New(p, p.Loop, p.net, nil, idleTimeout)
	if err := p.net.Start(platform.ListenAddr); err != nil {
		return nil, err
	}
	p.Post(func() {
		p.clients.Sweep()
		p.forwarder.Start()
		p.reportToRegistry()
	})
	return p, nil
}

// classConfigs returns the configurations of the classes in the settings, by name.
func classConfigs(settings admission.Settings) map[string]classConfig {
	configs := map[string]classConfig{}
	for _, class := range settings.Classes {
		configs[string(class.Name)] = classConfig{
			idempotency:       class.Idempotency,
			idempotencyWindow: class.IdempotencyWindow,
			timeout:           max(class.Timeout, class.LatencyObjective),
		}
	}
	return configs
}

// Attach starts a front end in addition to that of the clients. It must be called before Serve.
func (p *Proxy) Attach(attached frontend.Frontend) {
	p.frontends = append(p.frontends, attached)
	attached.Start()
}

// Serve runs the event loop until the proxy has drained.
func (p *Proxy) Serve() { p.Run(p.net.Flush) }

// UpdateView replaces the instances to which requests are forwarded with those in a view of the fleet.
func (p *Proxy) UpdateView(view *membership.View) { p.forwarder.UpdateView(view, membership.RoleProxy) }

// endpointCount returns the number of instances to which requests can be forwarded.
func (p *Proxy) endpointCount() int { return p.forwarder.Balancer.Len() }
