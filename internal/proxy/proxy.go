// Package proxy forwards requests: it takes them by the clients' protocol, gives each to one of many instances, and
// owes the one response. It holds nothing beside the requests in flight. Which instance a request goes to, and
// whether another is tried, is decided by internal/balancer.
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

// What the memory is divided into, the same as in an instance.
const (
	bodyDivisor   = 4 // one in so many buffers is for the bodies of requests in flight
	readDivisor   = 8 // one in so many is for what was read and not worked off
	unreadDivisor = 8 // of the memory one in so many is for what clients have not read
)

// Config is what a proxy goes by, beside the platform's configuration.
type Config struct {
	forward.Config
	MaxInFlight int           // requests
	DrainGrace  time.Duration // from the notice to drain until nothing more is forwarded
	RetryAfter  time.Duration // sent to clients that are rejected as no instance is there; 0: none
}

// Proxy is one process that forwards requests. All of it is owned by its event loop; Post may be called on any
// goroutine.
type Proxy struct {
	*eventloop.Loop
	config      Config
	platform    server.Config
	net         *transport.Net
	buffers     *server.BufferPool
	clients     *clients.Frontend
	forwarder   *forward.Forwarder
	classes     map[string]classConfig
	inFlight    map[string]*proxiedRequest // by the client's id
	frontends   []frontend.Frontend
	registry    *discovery.Registry // nil: there is none, or it was not reached yet
	draining    bool
	acceptUntil time.Duration // while draining: nothing is forwarded from then on
	counters    counters
}

// counters counts what became of requests, since the start.
type counters struct {
	received   uint64
	succeeded  uint64
	rejected   uint64
	failed     uint64 // with those of which no response came
	noResponse uint64
	timedOut   uint64
	noEndpoint uint64
}

// classConfig is what a proxy knows of a class of requests.
type classConfig struct {
	idempotent bool
	timeout    time.Duration
}

// Listen returns a proxy that listens. Of the platform's configuration it takes what an instance would, less the
// runtime and the database. probe may be nil.
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
	p.net.ReadTokens.Store(true) // the instance checks them; a proxy forwards what is brought
	p.net.ReadHops.Store(true)
	p.forwarder = forward.New(p.Loop, p.net, config.Config, platform.Seed, probe)
	idleTimeout := platform.Settings.MaxIdleTimeout // 0 where it is not set
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

// classConfigs returns the classes of the settings by name.
func classConfigs(settings admission.Settings) map[string]classConfig {
	configs := map[string]classConfig{}
	for _, class := range settings.Classes {
		configs[string(class.Name)] = classConfig{
			idempotent: class.Idempotency == admission.Idempotent,
			timeout:    max(class.Timeout, class.LatencyObjective),
		}
	}
	return configs
}

// Attach starts a frontend beside the clients'. It may be called before Serve alone.
func (p *Proxy) Attach(attached frontend.Frontend) {
	p.frontends = append(p.frontends, attached)
	attached.Start()
}

// Serve runs the event loop until the proxy has drained.
func (p *Proxy) Serve() { p.Run(p.net.Flush) }

// UpdateView takes a view of the fleet.
func (p *Proxy) UpdateView(view *membership.View) { p.forwarder.UpdateView(view, membership.RoleProxy) }

// endpointCount returns the number of instances to forward to.
func (p *Proxy) endpointCount() int { return p.forwarder.Balancer.Len() }
