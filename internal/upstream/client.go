// Package upstream is the services that an instance's calls go to, where an operator's file tells of several, or of a
// hard cap that holds for the whole fleet. Which one a call goes to is decided by internal/balancer, how many calls
// there may be at a time by internal/concurrencylease; here is who is there, and what is open. It belongs to the
// instance's loop.
package upstream

import (
	"math/rand/v2"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/membership"
	"lanewheel/internal/server"
)

// Config is what it goes by.
type Config struct {
	Balancer        balancer.Config
	Addresses       []string      // services; none: members with the role below
	MaxCalls        int           // at a time to one service, without a grant
	MaxCallDuration time.Duration // that a call may last
}

// RequestLease asks the desk of a service for calls; the answer comes by Granted.
type RequestLease func(name membership.Name, a concurrencylease.Request)

// Client is the services of one instance. It is a keep.Below.
type Client struct {
	loop         *eventloop.Loop
	config       Config
	self         membership.ID
	requestLease RequestLease
	balancer     *balancer.Balancer
	random       *rand.Rand
	services     map[balancer.EndpointName]*endpoint
	onAvailable  func()
	waitingCalls int
	stats        callStats
}

// callStats is what became of calls.
type callStats struct{ started, atCapacity, abandoned uint64 }

// New makes the part of an instance that is known to the fleet as self.
func New(eventLoop *eventloop.Loop, config Config, self membership.ID, seed uint64, requestLease RequestLease) *Client {
	client := &Client{loop: eventLoop, config: config, self: self, requestLease: requestLease, balancer: balancer.New(config.Balancer), random: rand.New(rand.NewPCG(seed, 11)), services: map[balancer.EndpointName]*endpoint{}, onAvailable: func() {}}
	if len(config.Addresses) > 0 {
		var candidates []balancer.Endpoint
		for _, addr := range config.Addresses {
			client.services[balancer.EndpointName(addr)] = &endpoint{client: client, name: balancer.EndpointName(addr), address: addr}
			candidates = append(candidates, balancer.Endpoint{Name: balancer.EndpointName(addr), Capacity: 1})
		}
		client.balancer.SetEndpoints(0, candidates)
	}
	return client
}

// OnAvailable is keep.Below.
func (p *Client) OnAvailable(then func()) { p.onAvailable = then }

// Start begins to ask for calls.
func (p *Client) Start() { p.requestLeases() }

// SetView takes a view of the fleet: services that members stand beside. Danger: one that is gone from our view may
// only be cut off from us, and what is open there goes on: what was granted is kept until its time is up.
func (p *Client) SetView(view *membership.View) {
	if len(p.config.Addresses) > 0 {
		return
	}
	var candidates []balancer.Endpoint
	present := map[balancer.EndpointName]bool{}
	for member := range view.All() {
		if member.Roles&membership.RoleUpstream == 0 || member.ServiceAddr == "" || !member.State.Available() && (member.State != membership.StateSuspect || view.LocalHealth.CanDeclareGone()) {
			continue
		}
		name := balancer.EndpointName(member.Name)
		present[name] = true
		known := p.services[name]
		if known == nil {
			known = &endpoint{client: p, name: name, holder: &concurrencylease.Holder{ID: p.self, MaxUnleasedCalls: p.config.MaxCalls, MaxCallDuration: p.config.MaxCallDuration}}
			p.services[name] = known
		}
		known.address, known.allocatorBootID = member.ServiceAddr, member.BootID
		candidates = append(candidates, balancer.Endpoint{Name: name, Zone: member.Zone, Capacity: member.Capacity, WarmUp: member.WarmUp, WarmUpRemaining: member.WarmUpRemaining(view.PublishedAt), Suspect: member.State == membership.StateSuspect})
	}
	for name, known := range p.services {
		if !present[name] && known.openCalls == 0 && known.holder.Limit(p.loop.Now()) <= known.holder.UnleasedCalls {
			delete(p.services, name)
		}
	}
	p.balancer.SetEndpoints(p.loop.Now(), candidates)
	p.onAvailable()
}

// Acquire is keep.Below.
func (p *Client) Acquire(excludedAddr string, waiting int) server.UpstreamSlot {
	now := p.loop.Now()
	p.waitingCalls = waiting
	i, found := p.balancer.Pick(now, p.random.Float64, func(i int) bool {
		endpoint := p.services[p.balancer.NameAt(i)]
		return endpoint == nil || endpoint.freeCapacity(now) <= 0 || endpoint.address == excludedAddr && p.balancer.Len() > 1
	})
	if !found {
		p.stats.atCapacity++
		p.recordDemand(now)
		return nil
	}
	endpoint := p.services[p.balancer.NameAt(i)]
	p.balancer.RecordStart(now, i)
	p.stats.started++
	endpoint.openCalls++
	if endpoint.holder != nil {
		endpoint.holder.RecordDemand(now, endpoint.openCalls)
	}
	p.waitingCalls = waiting - 1
	return &reservation{endpoint: endpoint, startedAt: now, maxDuration: endpoint.maxCallDuration()}
}

// recordDemand tells the services' desks that calls wait: what waits is wanted of all alike.
func (p *Client) recordDemand(now time.Duration) {
	leased := 0
	for _, s := range p.services {
		if s.holder != nil {
			leased++
		}
	}
	for _, s := range p.services {
		if s.holder != nil {
			s.holder.RecordDemand(now, s.openCalls+(p.waitingCalls+leased-1)/leased)
		}
	}
}

// requestLeases asks for calls whenever that is due.
func (p *Client) requestLeases() {
	now := p.loop.Now()
	for _, s := range p.services {
		if s.holder == nil {
			continue
		}
		if now >= s.holder.NextRequestAt(now, p.waitingCalls > 0) {
			p.requestLease(membership.Name(s.name), s.holder.NextRequest(now, s.allocatorBootID, s.openCalls))
		}
		// A limit that ran out is told once, as one that was given.
		s.logLimit(now)
	}
	p.loop.ScheduleAt(now+10*time.Millisecond, p.requestLeases) // a hundredth of what a grant holds at the least
}

// HandleLease takes an answer of a desk.
func (p *Client) HandleLease(lease concurrencylease.Lease) {
	now := p.loop.Now()
	for _, s := range p.services {
		if s.holder != nil && s.allocatorBootID == lease.AllocatorBootID && s.holder.Accept(lease) {
			s.logLimit(now)
			p.onAvailable()
			return
		}
	}
}
