// Package upstream is the services that a server's calls go to, where there are several of them, or a hard cap on
// calls that holds for the whole fleet. Which one a call goes to is decided by internal/balancer, how many calls
// there may be at a time by internal/concurrencylease; this package knows who is there, and what is open.
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

const (
	// leaseInterval is how often it is checked whether a lease is to be requested: a hundredth of the shortest lease.
	leaseInterval = 10 * time.Millisecond
	// randomStream tells this package's random numbers from those of others with the same seed.
	randomStream = 11
)

// Config is what a client goes by.
type Config struct {
	Balancer        balancer.Config
	Addresses       []string      // of services; none: the members with the upstream role
	MaxCalls        int           // at a time to one service at an address, and without a lease to one of a member
	MaxCallDuration time.Duration // that a call may take
}

// RequestLeaseFunc sends the allocator beside a service a request; the answer comes by HandleLease.
type RequestLeaseFunc func(name membership.Name, request concurrencylease.Request)

// Client is the services of one server. It implements server.Upstreams. It is owned by the server's event loop, on
// which all its methods are to be called.
type Client struct {
	loop         *eventloop.Loop
	config       Config
	self         membership.ID
	requestLease RequestLeaseFunc
	balancer     *balancer.Balancer
	random       *rand.Rand
	services     map[balancer.EndpointName]*service
	leasedLimits map[balancer.EndpointName]*leasedLimit // of the services whose calls are leased
	onAvailable  func()
	waitingCalls int // calls that wait for a place
}

// New makes the client of a server that the fleet knows as self. requestLease may be nil where all services have
// configured addresses.
func New(
	loop *eventloop.Loop, config Config, self membership.ID, seed uint64, requestLease RequestLeaseFunc,
) *Client {
	client := &Client{
		loop:         loop,
		config:       config,
		self:         self,
		requestLease: requestLease,
		balancer:     balancer.New(config.Balancer),
		random:       rand.New(rand.NewPCG(seed, randomStream)),
		services:     map[balancer.EndpointName]*service{},
		leasedLimits: map[balancer.EndpointName]*leasedLimit{},
		onAvailable:  func() {},
	}
	if len(config.Addresses) > 0 {
		client.addConfiguredServices(config.Addresses)
	}
	return client
}

func (c *Client) addConfiguredServices(addrs []string) {
	var endpoints []balancer.Endpoint
	for _, addr := range addrs {
		name := balancer.EndpointName(addr)
		limit := fixedLimit{maxCalls: c.config.MaxCalls, maxDuration: c.config.MaxCallDuration}
		c.services[name] = &service{name: name, addr: addr, limiter: limit}
		endpoints = append(endpoints, balancer.Endpoint{Name: name, Capacity: 1})
	}
	c.balancer.SetEndpoints(0, endpoints)
}

// OnAvailable implements server.Upstreams.
func (c *Client) OnAvailable(callback func()) { c.onAvailable = callback }

// Start begins to request leases.
func (c *Client) Start() { c.requestLeases() }

// SetView takes a view of the fleet and, unless addresses are configured, the services that members stand beside. A
// member that is missing from the view may only be cut off from us while its calls go on, so what was leased for it
// is kept until it has expired.
func (c *Client) SetView(view *membership.View) {
	if len(c.config.Addresses) > 0 {
		return
	}
	var endpoints []balancer.Endpoint
	present := map[balancer.EndpointName]bool{}
	for member := range view.All() {
		if !isCallable(member, view.LocalHealth) {
			continue
		}
		name := balancer.EndpointName(member.Name)
		present[name] = true
		c.addMember(name, member)
		endpoints = append(endpoints, balancer.Endpoint{
			Name:            name,
			Zone:            member.Zone,
			Capacity:        member.Capacity,
			WarmUp:          member.WarmUp,
			WarmUpRemaining: member.WarmUpRemaining(view.PublishedAt),
			Suspect:         member.State == membership.StateSuspect,
		})
	}
	c.removeMissing(present)
	c.balancer.SetEndpoints(c.loop.Now(), endpoints)
	c.onAvailable()
}

// isCallable reports whether calls may go to the service beside a member. A suspect one gets calls while this process
// cannot tell whether the member is gone or it is cut off itself.
func isCallable(member membership.Member, health membership.LocalHealth) bool {
	if member.Roles&membership.RoleUpstream == 0 || member.ServiceAddr == "" {
		return false
	}
	return member.State.Available() || member.State == membership.StateSuspect && !health.CanDeclareGone()
}

// addMember adds the service beside a member, or takes over its present address and allocator.
func (c *Client) addMember(name balancer.EndpointName, member membership.Member) {
	svc := c.services[name]
	if svc == nil {
		leased := &leasedLimit{holder: &concurrencylease.Holder{
			ID:               c.self,
			MaxUnleasedCalls: c.config.MaxCalls,
			MaxCallDuration:  c.config.MaxCallDuration,
		}}
		svc = &service{name: name, limiter: leased}
		c.services[name] = svc
		c.leasedLimits[name] = leased
	}
	svc.addr = member.ServiceAddr
	svc.allocatorBootID = member.BootID
}

// removeMissing forgets services that are not present and have neither open nor leased calls.
func (c *Client) removeMissing(present map[balancer.EndpointName]bool) {
	now := c.loop.Now()
	for name, svc := range c.services {
		if !present[name] && svc.openCalls == 0 && !svc.limiter.inForce(now) {
			delete(c.services, name)
			delete(c.leasedLimits, name)
		}
	}
}

// Acquire implements server.Upstreams.
func (c *Client) Acquire(excludedAddr string, waiting int) server.UpstreamSlot {
	now := c.loop.Now()
	c.waitingCalls = waiting
	onlyOne := c.balancer.Len() <= 1
	i, found := c.balancer.Pick(now, c.random.Float64, func(i int) (excluded bool) {
		candidate := c.services[c.balancer.NameAt(i)]
		if candidate == nil || candidate.freeCapacity(now) <= 0 {
			return true
		}
		return candidate.addr == excludedAddr && !onlyOne
	})
	if !found {
		c.recordWaitingDemand(now)
		return nil
	}
	chosen := c.services[c.balancer.NameAt(i)]
	c.balancer.RecordStart(now, i)
	chosen.openCalls++
	chosen.limiter.recordDemand(now, chosen.openCalls)
	c.waitingCalls = waiting - 1
	return &reservation{
		client:      c,
		service:     chosen,
		startedAt:   now,
		maxDuration: chosen.limiter.maxCallDuration(),
	}
}

// recordWaitingDemand counts the calls that wait as wanted of all services with leases alike.
func (c *Client) recordWaitingDemand(now time.Duration) {
	if len(c.leasedLimits) == 0 {
		return
	}
	callsPerService := (c.waitingCalls + len(c.leasedLimits) - 1) / len(c.leasedLimits)
	for name, leased := range c.leasedLimits {
		leased.recordDemand(now, c.services[name].openCalls+callsPerService)
	}
}

// requestLeases requests leases that are due, again and again.
func (c *Client) requestLeases() {
	now := c.loop.Now()
	for name, leased := range c.leasedLimits {
		svc := c.services[name]
		if now >= leased.holder.NextRequestAt(now, c.waitingCalls > 0) {
			request := leased.holder.NextRequest(now, svc.allocatorBootID, svc.openCalls)
			c.requestLease(membership.Name(name), request)
		}
		leased.logChange(now, name, svc.openCalls) // a lease that has expired is logged here
	}
	c.loop.ScheduleAt(now+leaseInterval, c.requestLeases)
}

// HandleLease takes an allocator's answer.
func (c *Client) HandleLease(lease concurrencylease.Lease) {
	for name, leased := range c.leasedLimits {
		svc := c.services[name]
		if svc.allocatorBootID == lease.AllocatorBootID && leased.holder.Accept(lease) {
			leased.logChange(c.loop.Now(), name, svc.openCalls)
			c.onAvailable()
			return
		}
	}
}
