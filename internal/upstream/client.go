// Package upstream distributes a server's calls among upstream services. It is used if there are several services, or
// if a hard limit on concurrent calls applies to the whole fleet. internal/balancer decides which service receives a
// call, and internal/concurrencylease limits the number of concurrent calls. This package keeps track of the services
// and of the open calls.
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
	// leaseInterval is the interval at which the client checks whether leases must be requested. It is a twentieth of the
	// shortest lease duration that can be configured, 200 ms.
	leaseInterval = 10 * time.Millisecond
	// randomStream differs from the streams of the other random number generators that share the seed.
	randomStream = 11
)

// Config is the configuration of a Client.
type Config struct {
	Balancer  balancer.Config
	Addresses []string // addresses of the services; none: the services of members with the upstream role
	// MaxCalls is the maximum number of concurrent calls to one service at a configured address. For the service of a
	// member, it is the maximum number of concurrent calls without a lease.
	MaxCalls        int
	MaxCallDuration time.Duration // maximum duration of a call
}

// RequestLeaseFunc sends a lease request to the allocator of a service. name is the name of the member in which the
// allocator runs. The answer must be passed to Client.HandleLease.
type RequestLeaseFunc func(name membership.Name, request concurrencylease.Request)

// Client distributes the calls of one server among services. Services are configured by address, or run next to a
// member with the upstream role, which advertises the service's address and allocates its leases. Client implements
// server.Upstreams. It is owned by the server's event loop: all methods must be called there, except that OnAvailable
// may also be called before the loop runs.
type Client struct {
	loop         *eventloop.Loop
	config       Config
	self         membership.ID
	requestLease RequestLeaseFunc
	balancer     *balancer.Balancer
	random       *rand.Rand
	services     map[balancer.EndpointName]*service
	leasedLimits map[balancer.EndpointName]*leasedLimit // limits of the services whose calls are leased
	onAvailable  func()                                 // called when there may be free slots
	waitingCalls int                                    // calls that wait for a slot
}

// New returns the client of a server whose identity in the fleet is self. seed seeds its random numbers. requestLease
// may be nil if all services have configured addresses.
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

// addConfiguredServices adds the services at the configured addresses.
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

// Start starts the periodic requests for leases.
func (c *Client) Start() { c.requestLeases() }

// UpdateMembers replaces the services with those of the members in a view of the fleet. It does nothing if addresses
// are configured. A member that is missing from the view may merely be unreachable from this process while calls to
// its service continue. Its leases are therefore kept until they expire.
func (c *Client) UpdateMembers(view *membership.View) {
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

// isCallable reports whether the service of a member may be called. The service of a suspect member is called only
// while the local health does not permit this process to declare members gone, for instance because the process is
// isolated. In that case, this process cannot determine whether the member is gone.
func isCallable(member membership.Member, health membership.LocalHealth) bool {
	if member.Roles&membership.RoleUpstream == 0 || member.ServiceAddr == "" {
		return false
	}
	return member.State.Available() || member.State == membership.StateSuspect && !health.CanDeclareGone()
}

// addMember adds the service of a member, or updates the address and the allocator of a service that was added before.
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

// removeMissing removes the services that are not present, unless they have open calls or a lease in force.
func (c *Client) removeMissing(present map[balancer.EndpointName]bool) {
	now := c.loop.Now()
	for name, svc := range c.services {
		if !present[name] && svc.openCalls == 0 && !svc.limiter.inForce(now) {
			delete(c.services, name)
			delete(c.leasedLimits, name)
		}
	}
}

// Acquire implements server.Upstreams. The service at excludedAddr is chosen only if it is the only service.
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

// recordWaitingDemand records the waiting calls as demand for leased calls, divided equally among the services whose
// calls are leased and rounded up.
func (c *Client) recordWaitingDemand(now time.Duration) {
	if len(c.leasedLimits) == 0 {
		return
	}
	callsPerService := (c.waitingCalls + len(c.leasedLimits) - 1) / len(c.leasedLimits)
	for name, leased := range c.leasedLimits {
		leased.recordDemand(now, c.services[name].openCalls+callsPerService)
	}
}

// requestLeases sends the lease requests that are due and schedules its next run.
func (c *Client) requestLeases() {
	now := c.loop.Now()
	for name, leased := range c.leasedLimits {
		svc := c.services[name]
		if now >= leased.holder.NextRequestAt(now, c.waitingCalls > 0) {
			request := leased.holder.NextRequest(now, svc.allocatorBootID, svc.openCalls)
			c.requestLease(membership.Name(name), request)
		}
		leased.logChange(now, name, svc.openCalls) // also logs the expiry of a lease
	}
	c.loop.ScheduleAt(now+leaseInterval, c.requestLeases)
}

// HandleLease processes an allocator's answer to a lease request. It ignores answers from allocators that have been
// replaced, and answers that the holder of the leases does not accept.
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
