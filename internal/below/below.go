// Package below is the services that an instance's calls go to, where an operator's file tells of several, or of a hard cap that holds for
// the whole fleet. Which one a call goes to is decided by internal/spread, how many calls there may be at a time by internal/grants; here is
// who is there, and what is open. It belongs to the instance's loop.
package below

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/grants"
	"lanewheel/internal/keep"
	"lanewheel/internal/loop"
	"lanewheel/internal/members"
	"lanewheel/internal/spread"
)

// Told is what it goes by.
type Told struct {
	Spread  spread.Config
	Addrs   []string      // services; none: members with the role below
	Calls   int           // at a time to one service, without a grant
	Longest time.Duration // that a call may last
}

// AskDesk asks the desk of a service for calls; the answer comes by Granted.
type AskDesk func(name members.Name, a grants.Request)

// Part is the services of one instance. It is a keep.Below.
type Part struct {
	loop    *loop.Loop
	told    Told
	self    members.ID
	ask     AskDesk
	chooser *spread.Balancer
	chance  *rand.Rand
	all     map[spread.EndpointName]*service
	freed   func()
	waiting int
	Counts  Counts
}

// Counts is what became of calls.
type Counts struct{ Taken, Short, Running uint64 }

// service is one below.
type service struct {
	p      *Part
	name   spread.EndpointName
	addr   string
	life   members.BootID
	holder *grants.Holder // nil: no grants are given there, Calls holds
	open   int            // calls that may be running there
	limit  int            // as last logged
}

// New makes the part of an instance that is known to the fleet as self.
func New(l *loop.Loop, told Told, self members.ID, seed uint64, ask AskDesk) *Part {
	p := &Part{loop: l, told: told, self: self, ask: ask, chooser: spread.New(told.Spread), chance: rand.New(rand.NewPCG(seed, 11)), all: map[spread.EndpointName]*service{}, freed: func() {}}
	if len(told.Addrs) > 0 {
		var list []spread.Endpoint
		for _, addr := range told.Addrs {
			p.all[spread.EndpointName(addr)] = &service{p: p, name: spread.EndpointName(addr), addr: addr}
			list = append(list, spread.Endpoint{Name: spread.EndpointName(addr), Capacity: 1})
		}
		p.chooser.SetEndpoints(0, list)
	}
	return p
}

// Freed is keep.Below.
func (p *Part) Freed(then func()) { p.freed = then }

// Start begins to ask for calls.
func (p *Part) Start() { p.look() }

// See takes a view of the fleet: services that members stand beside. Danger: one that is gone from our view may only be cut off from us, and what is
// open there goes on: what was granted is kept until its time is up.
func (p *Part) See(v *members.View) {
	if len(p.told.Addrs) > 0 {
		return
	}
	var list []spread.Endpoint
	here := map[spread.EndpointName]bool{}
	for m := range v.All() {
		if m.Roles&members.RoleUpstream == 0 || m.ServiceAddr == "" || !m.State.Available() && (m.State != members.StateSuspect || v.LocalHealth.CanDeclareGone()) {
			continue
		}
		name := spread.EndpointName(m.Name)
		here[name] = true
		s := p.all[name]
		if s == nil {
			s = &service{p: p, name: name, holder: &grants.Holder{ID: p.self, MaxUnleasedCalls: p.told.Calls, MaxCallDuration: p.told.Longest}}
			p.all[name] = s
		}
		s.addr, s.life = m.ServiceAddr, m.BootID
		list = append(list, spread.Endpoint{Name: name, Zone: m.Zone, Capacity: m.Capacity, WarmUp: m.WarmUp, WarmUpRemaining: m.WarmUpRemaining(v.PublishedAt), Suspect: m.State == members.StateSuspect})
	}
	for name, s := range p.all {
		if !here[name] && s.open == 0 && s.holder.Limit(p.loop.Now()) <= s.holder.UnleasedCalls {
			delete(p.all, name)
		}
	}
	p.chooser.SetEndpoints(p.loop.Now(), list)
	p.freed()
}

// room is how many more calls a service may be given.
func (s *service) room(now time.Duration) int {
	if s.holder == nil {
		return s.p.told.Calls - s.open
	}
	return s.holder.Limit(now) - s.open
}

// Take is keep.Below.
func (p *Part) Take(not string, waiting int) keep.UpstreamSlot {
	now := p.loop.Now()
	p.waiting = waiting
	i, any := p.chooser.Pick(now, p.chance.Float64, func(i int) bool {
		s := p.all[p.chooser.NameAt(i)]
		return s == nil || s.room(now) <= 0 || s.addr == not && p.chooser.Len() > 1
	})
	if !any {
		p.Counts.Short++
		p.want(now)
		return nil
	}
	s := p.all[p.chooser.NameAt(i)]
	p.chooser.RecordStart(now, i)
	p.Counts.Taken++
	s.open++
	if s.holder != nil {
		s.holder.RecordDemand(now, s.open)
	}
	p.waiting = waiting - 1
	return &place{s: s, began: now, longest: s.longest()}
}

func (s *service) longest() time.Duration {
	if s.holder != nil {
		return s.holder.MaxCallDuration
	}
	return s.p.told.Longest
}

// want tells the services' desks that calls wait: what waits is wanted of all alike.
func (p *Part) want(now time.Duration) {
	n := 0
	for _, s := range p.all {
		if s.holder != nil {
			n++
		}
	}
	for _, s := range p.all {
		if s.holder != nil {
			s.holder.RecordDemand(now, s.open+(p.waiting+n-1)/n)
		}
	}
}

// look asks for calls whenever that is due.
func (p *Part) look() {
	now := p.loop.Now()
	for _, s := range p.all {
		if s.holder == nil {
			continue
		}
		if now >= s.holder.NextRequestAt(now, p.waiting > 0) {
			p.ask(members.Name(s.name), s.holder.NextRequest(now, s.life, s.open))
		}
		// A limit that ran out is told once, as one that was given.
		s.note(now)
	}
	p.loop.ScheduleAt(now+10*time.Millisecond, p.look) // a hundredth of what a grant holds at the least
}

func (s *service) note(now time.Duration) {
	was, is := s.limit, s.holder.Limit(now)
	if s.limit = is; was == 0 != (is == 0) {
		slog.Info("calls-granted", "service", string(s.name), "limit", is, "open", s.open)
	}
}

// Granted takes an answer of a desk.
func (p *Part) Granted(g grants.Lease) {
	now := p.loop.Now()
	for _, s := range p.all {
		if s.holder != nil && s.life == g.AllocatorBootID && s.holder.Accept(now, g) {
			s.note(now)
			p.freed()
			return
		}
	}
}

// place is a call's at one service: a keep.Place.
type place struct {
	s       *service
	began   time.Duration
	longest time.Duration
}

func (c *place) Addr() string               { return c.s.addr }
func (c *place) MaxDuration() time.Duration { return c.longest }

var outcomes = map[choice.Outcome]spread.Outcome{choice.Succeeded: spread.Succeeded, choice.Rejected: spread.Rejected, choice.Failed: spread.Failed}

// Release is keep.Place. What may be running on counts until its time there is up. Danger: who gives a call up and makes another at once has two running
// below.
func (c *place) Release(how choice.Outcome, running bool) {
	p, now := c.s.p, c.s.p.loop.Now()
	what, known := outcomes[how]
	if !known {
		what = spread.NoResponse
	}
	p.chooser.RecordOutcome(now, c.s.name, what, now-c.began)
	if !running {
		c.back()
		return
	}
	p.Counts.Running++
	p.loop.ScheduleAt(max(now, c.began+c.longest), c.back)
}

func (c *place) back() {
	c.s.open--
	// What waits is given the room in a turn of its own: whoever gives it back is in the middle of something.
	c.s.p.loop.ScheduleAt(c.s.p.loop.Now(), c.s.p.freed)
}
