// Package gossip is the part of a process that speaks to the other members of its fleet. What it hears goes to a members.Table, on
// a loop of its own; what that decides is carried out here and handed to whoever has subscribed.
package gossip

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log"
	"log/slog"
	"maps"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"

	"lanewheel/internal/grants"
	"lanewheel/internal/logline"
	"lanewheel/internal/loop"
	"lanewheel/internal/members"
	"lanewheel/internal/watch"
)

// Told is what the part goes by.
type Told struct {
	Name      members.Name
	Cluster   string // which fleet; others are not heard
	Listen    string // ip:port, UDP and TCP
	Advertise string // where others reach it; empty: where it listens
	Serves    string // where the process takes ops, empty if it takes none
	Roles     members.Roles
	Zone      string
	Release   string
	Capacity  float64
	Warm      time.Duration
	Keys      []members.Key
	Probe     time.Duration // between two calls to another member
	Rate      float64       // messages a second that are taken
	Watch     string        // a local socket, empty for none
	Leaves    bool          // a fenced one leaves
	Permits   bool          // it leaves by permits of the stewards
	Members   members.Config
}

// Report is what the process behind the part says of itself for a bulletin.
type Report struct {
	Ready   bool
	Leaving bool
	Facts   []members.Metric
}

// Process is whom the part speaks for. Its methods may be called on any goroutine.
type Process interface {
	// Report has then called with how the process stands.
	Report(then func(Report))
	// Load has then called with what it has in hand, or under 0 for how long it has had nothing (spread.Idle), and what it has done since its start.
	Load(then func(load float64, done Figures))
	// Drain has it leave, by a permit that the fleet has agreed on.
	Drain(number uint64)
	// Fenced tells that a later life has the name.
	Fenced()
}

// Figures is what a process has done since its start.
type Figures struct {
	Done float64 // ops that ended
	Well float64 // of them, in their target latency
	Took float64 // s that all of them took, from reading to answer
}

// Part is one process's place in the fleet. All but what is atomic belongs to its loop.
type Part struct {
	*loop.Loop
	told    Told
	process Process
	table   *members.Table
	list    *memberlist.Memberlist
	conf    *memberlist.Config
	net     *transport
	lines   *lines
	queue   *memberlist.TransmitLimitedQueue
	chance  *mathrand.Rand

	seq      uint64
	next     time.Duration // when the next bulletin is due
	digest   uint64        // that our last one told
	readyAt  time.Duration // since when it is ready, under 0 if it is not
	own      atomic.Pointer[said]
	view     atomic.Pointer[members.View]
	messages atomic.Pointer[rate.Limiter]
	dropped  atomic.Uint64 // messages past the rate
	bad      atomic.Uint64 // that can't be read
	refused  atomic.Uint64 // claims
	calls    chan string   // addresses for the one goroutine that calls
	calling  bool
	leaving  bool
	ousted   bool
	closed   chan struct{}
	listens  []func(*members.View)
	tally    logline.Sampler[string]
	steps    map[string]uint64
	standing members.LocalHealth
	began    time.Time
	mu       sync.Mutex
	heard    map[string]struct{} // who was heard since the last look
	formers  []string            // who called the life before ours since then
	asked    map[uint64]*asking  // queries that no word has come to
	nonce    uint64
	left     sync.Once // the library can't be left twice

	// Desk hears who asks for calls to the service that we stand beside, Grants what was granted to us. Nil where there is none; on our loop,
	// set before Start. answer may be called on any goroutine.
	Desk   func(a grants.Ask, answer func(grants.Grant))
	Grants func(g grants.Grant)
	// Begins hears that a member would begin its permit, where we are a steward; done is called once it has. The same holds of it.
	Begins func(name members.Name, of members.Incarnation, number uint64, done func())
}

// said is our last bulletin as it goes out, with when it was written.
type said struct {
	b  []byte
	at time.Time
}

func (s *said) now() []byte { return aged(append([]byte(nil), s.b...), time.Since(s.at)) }

// New opens the sockets; nothing is said before Start.
func New(told Told, process Process, seed uint64) (*Part, error) {
	ip, port, err := split(told.Listen)
	if err != nil {
		return nil, err
	}
	if told.Advertise == "" {
		told.Advertise = told.Listen
	}
	aip, aport, err := split(told.Advertise)
	if err != nil {
		return nil, err
	}
	var life [8]byte
	if _, err := rand.Read(life[:]); err != nil {
		return nil, err
	}
	self := members.Descriptor{Name: told.Name, BootID: members.BootID(binary.BigEndian.Uint64(life[:])), GossipAddr: told.Advertise, ServiceAddr: told.Serves, Roles: told.Roles,
		// A start by the clock is mostly above the life before; where the clock went back, the number is learnt (members.Table).
		Incarnation: members.Incarnation(max(1, time.Now().UnixMilli())),
		Zone:        told.Zone, Release: told.Release, Capacity: told.Capacity, WarmUp: told.Warm}
	p := &Part{Loop: loop.New(1 << 14), began: time.Now(), heard: map[string]struct{}{}, formers: make([]string, 0, 4), asked: map[uint64]*asking{}, told: told, process: process, lines: &lines{count: map[string]uint64{}},
		chance: mathrand.New(mathrand.NewPCG(seed, uint64(self.BootID))), calls: make(chan string, 1), closed: make(chan struct{}), readyAt: -1, steps: map[string]uint64{}}
	p.lines.former = p.former
	p.table = members.NewTable(self, told.Members, 0)
	p.view.Store(p.table.View())
	p.limit(told.Rate)
	p.say(members.Heartbeat{ID: self.ID(), Incarnation: self.Incarnation})
	logger := log.New(p.lines, "", 0)
	if p.net, err = newTransport(ip, port, logger, p.ear); err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Logger, c.Label = self.ID().String(), p.net, logger, told.Cluster
	c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = ip.String(), port, aip.String(), aport
	c.ProbeInterval, c.ProbeTimeout = told.Probe, told.Probe/2
	// Two others have to confirm before the shortest time holds; at 100 members that is 4 s with calls each 500 ms.
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 4, 3
	c.GossipInterval, c.GossipNodes = 100*time.Millisecond, 3
	c.RetransmitMult = 3
	c.GossipToTheDeadTime = 30 * time.Second
	c.EnableCompression = false           // its writer takes 100 KB a message: half of a process's time at rest went to clearing up behind it
	c.PushPullInterval = 10 * time.Second // the library makes that 20 s at 64 members, 40 at 256; who differs is called before
	c.TCPTimeout = 2 * time.Second        // some round trips of a poor link; one goroutine alone calls
	c.DeadNodeReclaimTime = time.Second
	c.Delegate, c.Events, c.Alive, c.Ping, c.Conflict = p, p, p, p, p
	if len(told.Keys) > 0 {
		var all [][]byte
		for _, k := range told.Keys {
			all = append(all, k)
		}
		if c.Keyring, err = memberlist.NewKeyring(all, told.Keys[0]); err != nil {
			return nil, err
		}
	}
	p.conf = c
	p.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: 2, NumNodes: func() int { return p.view.Load().Len() + 1 }}
	if p.list, err = memberlist.Create(c); err != nil {
		_ = p.net.Shutdown()
		return nil, err
	}
	return p, nil
}

func (p *Part) limit(perSecond float64) {
	p.messages.Store(rate.NewLimiter(rate.Limit(perSecond), int(max(1, perSecond))))
}

// Subscribe has then called with each new view, on the part's loop: who has a loop of its own hands it on there. It belongs to
// the time before Start.
func (p *Part) Subscribe(then func(*members.View)) { p.listens = append(p.listens, then) }

// View is what is believed now. Any goroutine may ask.
func (p *Part) View() *members.View { return p.view.Load() }

// Start begins to speak.
func (p *Part) Start() {
	if p.told.Watch != "" {
		watch.Serve(p.told.Watch, p.closed, p.show)
	}
	go p.call()
	p.Post(func() {
		p.look()
		p.reach()
		p.publish()
	})
	go p.Run(func() {})
}

// look is how often the table looks at the time. Danger: it must be often against Stall, or we seem to stand still.
const look = 100 * time.Millisecond

func (p *Part) look() {
	p.mu.Lock()
	for sender := range p.heard {
		p.table.ObserveSender(sender)
	}
	clear(p.heard)
	for _, addr := range p.formers {
		p.table.AddPredecessorCaller(addr)
	}
	p.formers = p.formers[:0]
	p.mu.Unlock()
	p.table.Tick(p.Now())
	p.net.muted.Store(p.table.HearsNobody())
	for nonce, a := range p.asked {
		if p.Now()-a.at > time.Second {
			delete(p.asked, nonce)
		}
	}
	p.after()
	p.tally.FlushSuppressed(p.WallTime(), func(step string, more int) { slog.Info("members", "step", step, "more", more) })
	if !p.HasQuit() {
		p.ScheduleAt(p.Now()+look, p.look)
	}
}

// ear notes a sender until the next look. Danger: a flood of packets that each hand the loop a call; and senders without end.
func (p *Part) ear(sender string) {
	const most = 4096 // many times the members that one process hears in a tenth of a second
	p.mu.Lock()
	if len(p.heard) < most {
		p.heard[sender] = struct{}{}
	}
	p.mu.Unlock()
}

// former notes who called the life before ours until the next look; there is no need for more than a few.
func (p *Part) former(addr string) {
	p.mu.Lock()
	if len(p.formers) < cap(p.formers) {
		p.formers = append(p.formers, addr)
	}
	p.mu.Unlock()
}

// after carries out what the table has come to.
func (p *Part) after() {
	for _, c := range p.table.TakeChanges() {
		step := fmt.Sprintf("%v-%v", c.From, c.To)
		p.steps[step]++
		if p.tally.Allow(step, p.WallTime()) {
			slog.Info("member", "name", string(c.Name), "incarnation", uint64(c.Incarnation), "was", c.From, "is", c.To, "why", string(c.Reason), "view", c.ViewVersion)
		}
	}
	v := p.table.View()
	if v == p.view.Load() {
		return
	}
	p.view.Store(v)
	if v.LocalHealth != p.standing {
		slog.Info("standing", "was", p.standing, "is", v.LocalHealth, "reach", fmt.Sprintf("%.2f", v.HeardFraction), "members", v.Len(), "view", v.Version)
		p.standing = v.LocalHealth
	}
	for _, then := range p.listens {
		then(v)
	}
}

// publish looks how we stand, and says so at the table's pace; at once where others have to know.
func (p *Part) publish() {
	if p.HasQuit() {
		return
	}
	p.process.Report(func(r Report) {
		p.Post(func() {
			if p.Now() >= p.next || r.Ready != (p.readyAt >= 0) || r.Leaving && !p.leaving {
				p.bulletin(r)
			} else if p.digest != p.table.ViewDigest() && !p.leaving {
				// What we hold to be so goes to whoever calls next, but is no news for the whole fleet. Danger: views that differ are
				// known to only as soon as each has spoken again, which is many seconds in a large fleet.
				p.write(r)
			}
		})
	})
	const often = 250 * time.Millisecond // how late a process that has come up is known to have
	p.ScheduleAt(p.Now()+often, p.publish)
}

func (p *Part) bulletin(r Report) {
	switch {
	case !r.Ready:
		p.readyAt = -1
	case p.readyAt < 0:
		p.readyAt = p.Now()
	}
	// Half to one and a half times the pace. Danger: hundreds that started at one moment all speak at the same moments.
	p.next = p.Now() + time.Duration((0.5+p.chance.Float64())*float64(p.table.HeartbeatInterval()))
	p.queue.QueueBroadcast(&passing{of: p.table.Self().ID(), s: p.write(r)})
}

// write makes our next bulletin, and has it ride on answers to calls.
func (p *Part) write(r Report) *said {
	p.seq++
	p.digest = p.table.ViewDigest()
	self := p.table.Self()
	b := members.Heartbeat{ID: self.ID(), Incarnation: self.Incarnation, Sequence: p.seq, Ready: r.Ready, Draining: r.Leaving || p.leaving, ViewDigest: p.table.ViewDigest(), Metrics: r.Facts}
	if r.Ready {
		b.ReadyFor = p.Now() - p.readyAt
	}
	for i := range b.Metrics {
		if b.Metrics[i].TTL == 0 {
			b.Metrics[i].TTL = p.table.MetricTTL()
		}
	}
	p.say(b)
	return p.own.Load()
}

func (p *Part) say(b members.Heartbeat) { p.own.Store(&said{packBulletin(b), time.Now()}) }

// passing is a bulletin on its way through the fleet; its age is written each time it goes out.
type passing struct {
	of members.ID
	s  *said
}

func (b *passing) Invalidates(other memberlist.Broadcast) bool {
	o, is := other.(*passing)
	return is && o.of == b.of
}
func (b *passing) Message() []byte { return b.s.now() }
func (b *passing) Finished()       {}

// reach calls, once a second, whoever may be a part of the fleet that does not know of us.
func (p *Part) reach() {
	if p.HasQuit() {
		return
	}
	if addr, any := p.table.NextJoinAddr(p.Now(), p.chance.Float64); any && !p.calling && !p.leaving && !p.ousted {
		p.calling = true
		p.calls <- addr // there is room: one alone is under way
	}
	pause := time.Second
	if p.table.View().Len() == 0 { // alone: soon, and not all at the same moment
		pause = time.Duration((0.1 + 0.4*p.chance.Float64()) * float64(time.Second))
	}
	p.ScheduleAt(p.Now()+pause, p.reach)
}

// call is the one goroutine that calls.
func (p *Part) call() {
	for {
		select {
		case <-p.closed:
			return
		case addr := <-p.calls:
			n, err := p.list.Join([]string{addr})
			p.Post(func() {
				p.calling = false
				p.table.RecordJoin(addr, n > 0, p.Now(), p.chance.Float64)
				if n > 0 {
					p.table.ObserveAck(p.Now())
					p.table.ObserveSender(host(addr))
				} else if p.tally.Allow("call-failed", p.WallTime()) {
					slog.Info("call-failed", "addr", addr, "err", err)
				}
			})
		}
	}
}

// AskDesk asks the desk beside a service below for calls. Any goroutine may call it; the answer, if one comes, goes to Grants.
func (p *Part) AskDesk(name members.Name, a grants.Ask) {
	p.Post(func() {
		if m, known := p.table.View().Get(name); known {
			_ = p.list.SendToAddress(memberlist.Address{Addr: m.GossipAddr, Name: m.ID().String()}, packAsk(a, m.ID(), p.table.Self().GossipAddr))
		}
	})
}

// asking is a query under way.
type asking struct {
	at   time.Duration
	then func(w word, age time.Duration)
}

// Ask asks a member how it stands, by one datagram; then is called on the part's loop if a word comes. What does not come within a second
// is not waited for.
func (p *Part) Ask(name members.Name, then func(load float64, age time.Duration)) {
	p.askFor(name, func(w word, age time.Duration) { then(w.Load, age) })
}

// AskFigures asks a member what it has done, the same way.
func (p *Part) AskFigures(name members.Name, then func(Figures)) {
	p.askFor(name, func(w word, _ time.Duration) { then(Figures{w.Done, w.Well, w.Took}) })
}

// Nudge tells one life of a member that it has a permit, or that it has begun it. Any goroutine may call it.
func (p *Part) Nudge(name members.Name, of members.Incarnation, number uint64, begun bool) {
	p.Post(func() {
		if m, known := p.table.View().Get(name); known && m.Incarnation == of {
			self := p.table.Self()
			_ = p.list.SendToAddress(memberlist.Address{Addr: m.GossipAddr, Name: m.ID().String()}, pack(kindPermit, permit{m.ID().String(), self.ID().String(), self.GossipAddr, number, begun}))
		}
	})
}

func (p *Part) askFor(name members.Name, then func(w word, age time.Duration)) {
	const most = 1024 // Danger: a fleet that answers nobody; so many are more than a relay asks in a second
	m, known := p.table.View().Get(name)
	if !known || len(p.asked) >= most {
		return
	}
	p.nonce++
	p.asked[p.nonce] = &asking{p.Now(), then}
	b := pack(kindQuery, query{p.nonce, m.ID().String(), p.table.Self().ID().String(), p.table.Self().GossipAddr})
	_ = p.list.SendToAddress(memberlist.Address{Addr: m.GossipAddr, Name: m.ID().String()}, b)
}

// Put takes values that were told anew: keys, seeds and times. What it listens on and is called holds from the next start.
func (p *Part) Put(told Told) {
	p.Post(func() {
		turn := members.PlanKeyRotation(p.told.Keys, told.Keys)
		if ring := p.conf.Keyring; ring != nil {
			var err error
			for _, k := range turn.Add {
				err = firstOf(err, ring.AddKey(k))
			}
			if turn.Primary != nil {
				err = firstOf(err, ring.UseKey(turn.Primary))
			}
			for _, k := range turn.Remove {
				err = firstOf(err, ring.RemoveKey(k))
			}
			if len(turn.Add)+len(turn.Remove) > 0 || turn.Primary != nil || err != nil {
				slog.Info("fleet-keys", "added", len(turn.Add), "used", turn.Primary != nil, "dropped", len(turn.Remove), "err", err)
			}
		}
		p.told.Keys, p.told.Members, p.told.Rate = told.Keys, told.Members, told.Rate
		p.table.SetConfig(told.Members)
		p.limit(told.Rate)
	})
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Drain is the notice to drain: it is said at once, and the fleet is left shortly before last, a time from now.
func (p *Part) Drain(last time.Duration) {
	p.Post(func() {
		if p.leaving {
			return
		}
		p.leaving = true
		p.process.Report(func(r Report) { p.Post(func() { p.bulletin(r) }) })
		// The word that we left takes some rounds of gossip; half a second of the end is for it.
		const word = 500 * time.Millisecond
		p.ScheduleAt(p.Now()+max(0, last-word), func() { go p.leave(min(last, word) / 2) })
	})
}

func (p *Part) leave(within time.Duration) {
	p.depart(within)
	p.Post(func() {
		if p.HasQuit() {
			return
		}
		p.Quit()
		close(p.closed)
	})
}

// depart says that we leave, to all that hear it within that time, and ends the gossip.
func (p *Part) depart(within time.Duration) {
	p.left.Do(func() {
		_ = p.list.Leave(within)
		_ = p.list.Shutdown()
	})
}

// Drained tells whether the fleet has been left.
func (p *Part) Drained() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}

// oust ends our part in the fleet: a later life has our name.
func (p *Part) oust() {
	if p.ousted {
		return
	}
	p.ousted = true
	slog.Warn("fenced", "name", string(p.told.Name), "incarnation", uint64(p.table.Self().Incarnation), "leaves", p.told.Leaves)
	p.after()
	// Danger: shutting down without a word would have the detector doubt a life that is over anyway; with one it says the old
	// life has left, which nobody takes for the new one.
	go p.depart(200 * time.Millisecond)
	if p.told.Leaves {
		p.process.Fenced()
	}
}

// claimed hands a claim to the table and does what it says.
func (p *Part) claimed(c members.Descriptor) {
	switch p.table.HandleAlive(c, p.Now()) {
	case members.AliveOutdated:
		p.tell(c)
	case members.AliveIncarnationRaised:
		slog.Info("incarnation-raised", "name", string(p.told.Name), "incarnation", uint64(p.table.Self().Incarnation))
		go func() { _ = p.list.UpdateNode(time.Second) }()
	case members.AliveFenced:
		p.oust()
	}
	p.after()
}

// tell says to an old life that it is over, if that is on us.
func (p *Part) tell(old members.Descriptor) {
	if !p.table.ShouldNotifyFenced(old.ID(), p.Now()) {
		return
	}
	word := fenced{Name: string(old.Name)}
	if self := p.table.Self(); old.Name == self.Name {
		word.Incarnation, word.Life = uint64(self.Incarnation), uint64(self.BootID)
	} else if m, known := p.table.View().Get(old.Name); known {
		word.Incarnation, word.Life = uint64(m.Incarnation), uint64(m.BootID)
	}
	addr, err := net.ResolveUDPAddr("udp", old.GossipAddr) // an address in figures: nothing is looked up
	if err != nil {
		return
	}
	b := pack(kindFenced, word)
	to := memberlist.Address{Addr: addr.String(), Name: old.ID().String()}
	go func() { _ = p.list.SendToAddress(to, b) }()
}

// The rest is what the library calls, on goroutines of its own.

// NodeMeta is memberlist.Delegate.
func (p *Part) NodeMeta(limit int) []byte { return packClaim(p.view.Load().Self) }

// NotifyAlive is memberlist.AliveDelegate: it refuses what can't be a member before it is gossiped on. Danger: names without end.
func (p *Part) NotifyAlive(n *memberlist.Node) error {
	c, err := readClaim(n.Name, n.Address(), n.Meta)
	if err == nil {
		v := p.view.Load()
		if _, known := v.Get(c.Name); !known && c.Name != v.Self.Name && v.Len() >= p.told.Members.MaxMembers && v.Count(members.StateGone) == 0 {
			err = errSize
		}
	}
	if err != nil {
		p.refused.Add(1)
	}
	return err
}

// NotifyJoin is memberlist.EventDelegate.
func (p *Part) NotifyJoin(n *memberlist.Node) {
	if c, err := readClaim(n.Name, n.Address(), n.Meta); err == nil {
		p.Post(func() { p.claimed(c) })
	}
}

// NotifyUpdate is memberlist.EventDelegate.
func (p *Part) NotifyUpdate(n *memberlist.Node) { p.NotifyJoin(n) }

// NotifyLeave is memberlist.EventDelegate.
func (p *Part) NotifyLeave(n *memberlist.Node) {
	if id, ok := members.ParseID(n.Name); ok {
		left := n.State == memberlist.StateLeft
		p.Post(func() {
			p.table.HandleUnreachable(id, left, p.Now())
			p.after()
		})
	}
}

// NotifyConflict is memberlist.ConflictDelegate: one life at two addresses, which only a copied process could be.
func (p *Part) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("conflict", "life", existing.Name, "here", existing.Address(), "there", other.Address())
}

// AckPayload is memberlist.PingDelegate: whoever calls hears how we stand, first hand.
func (p *Part) AckPayload() []byte { return p.own.Load().now() }

// NotifyPingComplete is memberlist.PingDelegate.
func (p *Part) NotifyPingComplete(other *memberlist.Node, rtt time.Duration, payload []byte) {
	b := append([]byte(nil), payload...)
	p.Post(func() {
		p.table.ObserveAck(p.Now())
		p.message(b, rtt/2)
	})
}

// NotifyMsg is memberlist.Delegate. Danger: a member gone wild that floods the others; past the rate its messages are dropped, as
// is what it can be made good by: the next bulletin.
func (p *Part) NotifyMsg(b []byte) {
	if !p.messages.Load().Allow() {
		p.dropped.Add(1)
		return
	}
	b = append([]byte(nil), b...)
	p.Post(func() { p.message(b, 0) })
}

// message reads one and hands it to the table; what is new goes on to others.
func (p *Part) message(b []byte, under time.Duration) {
	kind, age, body, err := kindOf(b)
	if err == nil {
		switch kind {
		case kindBulletin:
			var x members.Heartbeat
			if x, err = readBulletin(body); err == nil && p.table.HandleHeartbeat(x, age+under, p.Now()) {
				p.queue.QueueBroadcast(&passing{of: x.ID, s: &said{append([]byte(nil), b...), time.Now().Add(-age - under)}})
				p.after()
			}
		case kindQuery:
			var q query
			if err = unpack(body, &q); err == nil && q.To == p.table.Self().ID().String() {
				p.process.Load(func(load float64, f Figures) {
					b := pack(kindWord, word{q.Nonce, load, f.Done, f.Well, f.Took})
					p.Post(func() { _ = p.list.SendToAddress(memberlist.Address{Addr: q.Addr, Name: q.Who}, b) })
				})
			}
		case kindWord:
			var w word
			if err = unpack(body, &w); err == nil {
				if a := p.asked[w.Nonce]; a != nil { // any other is late, or nobody's
					delete(p.asked, w.Nonce)
					a.then(w, (p.Now()-a.at)/2)
				}
			}
		case kindAsk:
			var a grants.Ask
			var addr string
			if a, addr, err = readAsk(body, p.table.Self().ID()); err == nil && p.Desk != nil {
				p.Desk(a, func(g grants.Grant) {
					b := packGrant(g)
					p.Post(func() { _ = p.list.SendToAddress(memberlist.Address{Addr: addr, Name: a.Who.String()}, b) })
				})
			}
		case kindPermit:
			var x permit
			if err = unpack(body, &x); err == nil && x.To == p.table.Self().ID().String() && x.Number > 0 && p.told.Permits {
				// Danger: a permit that was withdrawn while its word was on the way. It begins by a word of ours that the stewards agree on, and only what
				// they say has begun is gone by.
				if x.Begun {
					p.process.Drain(x.Number)
				} else {
					self := p.table.Self()
					_ = p.list.SendToAddress(memberlist.Address{Addr: x.Addr, Name: x.Who}, pack(kindBegin, begin{x.Who, self.ID().String(), self.GossipAddr, uint64(self.Incarnation), x.Number}))
				}
			}
		case kindBegin:
			var x begin
			if err = unpack(body, &x); err == nil && x.To == p.table.Self().ID().String() && p.Begins != nil {
				if id, ok := members.ParseID(x.Who); ok {
					p.Begins(id.Name, members.Incarnation(x.Incarnation), x.Number, func() { p.Nudge(id.Name, members.Incarnation(x.Incarnation), x.Number, true) })
				}
			}
		case kindGrant:
			var g grants.Grant
			if g, err = readGrant(body); err == nil && p.Grants != nil {
				p.Grants(g)
			}
		case kindFenced:
			var x fenced
			if err = unpack(body, &x); err == nil && members.Name(x.Name) == p.told.Name {
				switch p.table.HandleFenceNotice(members.Incarnation(x.Incarnation), members.BootID(x.Life), p.Now()) {
				case members.AliveFenced:
					p.oust()
				case members.AliveIncarnationRaised:
					go func() { _ = p.list.UpdateNode(time.Second) }()
				}
				p.after()
			}
		default:
			err = errKind
		}
	}
	if err != nil {
		p.bad.Add(1)
	}
}

// GetBroadcasts is memberlist.Delegate.
func (p *Part) GetBroadcasts(overhead, limit int) [][]byte {
	return p.queue.GetBroadcasts(overhead, limit)
}

// LocalState is memberlist.Delegate: all that we believe of the others' bulletins, for one that joins or was away.
func (p *Part) LocalState(join bool) []byte {
	v := p.view.Load()
	all := [][]byte{p.own.Load().now()}
	now := time.Since(p.began)
	for m := range v.All() {
		if m.Sequence == 0 || m.State == members.StateGone || m.State == members.StateFenced {
			continue
		}
		b, age := m.Heartbeat(now)
		all = append(all, aged(packBulletin(b), age))
	}
	return packState(all)
}

// MergeRemoteState is memberlist.Delegate.
func (p *Part) MergeRemoteState(b []byte, join bool) {
	if err := readState(b, p.told.Members.MaxMembers+1, func(m []byte) {
		m = append([]byte(nil), m...)
		p.Post(func() { p.message(m, 0) })
	}); err != nil {
		p.bad.Add(1)
	}
}

// counts is what came and what became of it.
func (p *Part) counts() map[string]uint64 {
	c := p.table.Stats
	all := map[string]uint64{"packets-in": p.net.in.Load(), "packets-out": p.net.out.Load(), "bytes-in": p.net.inBytes.Load(), "bytes-out": p.net.outBytes.Load(),
		"kept-back": p.net.kept.Load(), "dropped": p.dropped.Load(), "bad": p.bad.Load(), "refused": p.refused.Load() + c.RejectedFull,
		"changes": c.Transitions, "stale": c.StaleHeartbeats, "oversized": c.InvalidHeartbeats, "fenced": c.OutdatedIncarnations, "refuted": c.RefutedSuspicions, "stood-still": c.Stalls}
	for code, n := range p.lines.counts() {
		all["gossip-"+code] = n
	}
	maps.Copy(all, p.steps)
	return all
}
