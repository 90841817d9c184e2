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

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/logging"
	"lanewheel/internal/membership"
	"lanewheel/internal/statussocket"
)

// Config is what the part goes by.
type Config struct {
	Name            membership.Name
	Cluster         string // which fleet; others are not heard
	ListenAddr      string // ip:port, UDP and TCP
	AdvertiseAddr   string // where others reach it; empty: where it listens
	ServiceAddr     string // where the process takes ops, empty if it takes none
	Roles           membership.Roles
	Zone            string
	Release         string
	Capacity        float64
	WarmUp          time.Duration
	Keys            []membership.Key
	ProbeInterval   time.Duration // between two calls to another member
	MaxMessageRate  float64       // messages a second that are taken
	StatusSocket    string        // a local socket, empty for none
	LeaveWhenFenced bool          // a fenced one leaves
	DrainByPermit   bool          // it leaves by permits of the stewards
	Membership      membership.Config
}

// ProcessStatus is what the process behind the part says of itself for a bulletin.
type ProcessStatus struct {
	Ready    bool
	Draining bool
	Metrics  []membership.Metric
}

// Process is whom the part speaks for. Its methods may be called on any goroutine.
type Process interface {
	// Report has then called with how the process stands.
	Status(then func(ProcessStatus))
	// Load has then called with what it has in hand, or under 0 for how long it has had nothing (spread.Idle), and what it has done since its start.
	Load(then func(load float64, done RequestStats))
	// Drain has it leave, by a permit that the fleet has agreed on.
	Drain(number uint64)
	// Fenced tells that a later life has the name.
	Fenced()
}

// RequestStats is what a process has done since its start.
type RequestStats struct {
	Finished        float64 // ops that ended
	WithinObjective float64 // of them, in their target latency
	TotalSeconds    float64 // s that all of them took, from reading to answer
}

// Agent is one process's place in the fleet. All but what is atomic belongs to its loop.
type Agent struct {
	*eventloop.Loop
	config           Config
	process          Process
	table            *membership.Table
	memberlist       *memberlist.Memberlist
	memberlistConfig *memberlist.Config
	transport        *transport
	libraryLog       *libraryLog
	broadcasts       *memberlist.TransmitLimitedQueue
	random           *mathrand.Rand

	sequence            uint64
	nextHeartbeat       time.Duration // when the next bulletin is due
	announcedDigest     uint64        // that our last one told
	readySince          time.Duration // since when it is ready, under 0 if it is not
	ownHeartbeat        atomic.Pointer[encodedHeartbeat]
	view                atomic.Pointer[membership.View]
	messageLimiter      atomic.Pointer[rate.Limiter]
	rateLimited         atomic.Uint64 // messages past the rate
	malformed           atomic.Uint64 // that can't be read
	rejectedDescriptors atomic.Uint64 // claims
	joinAddrs           chan string   // addresses for the one goroutine that calls
	joining             bool
	draining            bool
	fenced              bool
	done                chan struct{}
	subscribers         []func(*membership.View)
	logSampler          logging.Sampler[string]
	transitions         map[string]uint64
	localHealth         membership.LocalHealth
	start               time.Time
	mu                  sync.Mutex
	senders             map[string]struct{}      // who was heard since the last look
	predecessorCallers  []string                 // who called the life before ours since then
	pendingQueries      map[uint64]*pendingQuery // queries that no word has come to
	lastNonce           uint64
	leaveOnce           sync.Once // the library can't be left twice

	// Desk hears who asks for calls to the service that we stand beside, Grants what was granted to us. Nil where there is none; on our loop,
	// set before Start. answer may be called on any goroutine.
	OnLeaseRequest func(a concurrencylease.Request, answer func(concurrencylease.Lease))
	OnLease        func(g concurrencylease.Lease)
	// Begins hears that a member would begin its permit, where we are a steward; done is called once it has. The same holds of it.
	OnPermitBegin func(name membership.Name, of membership.Incarnation, number uint64, done func())
}

// encodedHeartbeat is our last bulletin as it goes out, with when it was written.
type encodedHeartbeat struct {
	message   []byte
	encodedAt time.Time
}

func (s *encodedHeartbeat) withAge() []byte {
	return setAge(append([]byte(nil), s.message...), time.Since(s.encodedAt))
}

// New opens the sockets; nothing is said before Start.
func New(config Config, process Process, seed uint64) (*Agent, error) {
	ip, port, err := parseAddr(config.ListenAddr)
	if err != nil {
		return nil, err
	}
	if config.AdvertiseAddr == "" {
		config.AdvertiseAddr = config.ListenAddr
	}
	advertiseIP, advertisePort, err := parseAddr(config.AdvertiseAddr)
	if err != nil {
		return nil, err
	}
	var bootID [8]byte
	if _, err := rand.Read(bootID[:]); err != nil {
		return nil, err
	}
	self := membership.Descriptor{Name: config.Name, BootID: membership.BootID(binary.BigEndian.Uint64(bootID[:])), GossipAddr: config.AdvertiseAddr, ServiceAddr: config.ServiceAddr, Roles: config.Roles,
		// A start by the clock is mostly above the life before; where the clock went back, the number is learnt (members.Table).
		Incarnation: membership.Incarnation(max(1, time.Now().UnixMilli())),
		Zone:        config.Zone, Release: config.Release, Capacity: config.Capacity, WarmUp: config.WarmUp}
	agent := &Agent{Loop: eventloop.New(1 << 14), start: time.Now(), senders: map[string]struct{}{}, predecessorCallers: make([]string, 0, 4), pendingQueries: map[uint64]*pendingQuery{}, config: config, process: process, libraryLog: &libraryLog{counts: map[string]uint64{}},
		random: mathrand.New(mathrand.NewPCG(seed, uint64(self.BootID))), joinAddrs: make(chan string, 1), done: make(chan struct{}), readySince: -1, transitions: map[string]uint64{}}
	agent.libraryLog.onPredecessorCaller = agent.notePredecessorCaller
	agent.table = membership.NewTable(self, config.Membership, 0)
	agent.view.Store(agent.table.View())
	agent.setMessageLimit(config.MaxMessageRate)
	agent.storeHeartbeat(membership.Heartbeat{ID: self.ID(), Incarnation: self.Incarnation})
	logger := log.New(agent.libraryLog, "", 0)
	if agent.transport, err = newTransport(ip, port, logger, agent.noteSender); err != nil {
		return nil, err
	}
	listConfig := memberlist.DefaultLANConfig()
	listConfig.Name, listConfig.Transport, listConfig.Logger, listConfig.Label = self.ID().String(), agent.transport, logger, config.Cluster
	listConfig.BindAddr, listConfig.BindPort, listConfig.AdvertiseAddr, listConfig.AdvertisePort = ip.String(), port, advertiseIP.String(), advertisePort
	listConfig.ProbeInterval, listConfig.ProbeTimeout = config.ProbeInterval, config.ProbeInterval/2
	// Two others have to confirm before the shortest time holds; at 100 members that is 4 s with calls each 500 ms.
	listConfig.SuspicionMult, listConfig.SuspicionMaxTimeoutMult = 4, 3
	listConfig.GossipInterval, listConfig.GossipNodes = 100*time.Millisecond, 3
	listConfig.RetransmitMult = 3
	listConfig.GossipToTheDeadTime = 30 * time.Second
	listConfig.EnableCompression = false           // its writer takes 100 KB a message: half of a process's time at rest went to clearing up behind it
	listConfig.PushPullInterval = 10 * time.Second // the library makes that 20 s at 64 members, 40 at 256; who differs is called before
	listConfig.TCPTimeout = 2 * time.Second        // some round trips of a poor link; one goroutine alone calls
	listConfig.DeadNodeReclaimTime = time.Second
	listConfig.Delegate, listConfig.Events, listConfig.Alive, listConfig.Ping, listConfig.Conflict = agent, agent, agent, agent, agent
	if len(config.Keys) > 0 {
		var keys [][]byte
		for _, key := range config.Keys {
			keys = append(keys, key)
		}
		if listConfig.Keyring, err = memberlist.NewKeyring(keys, config.Keys[0]); err != nil {
			return nil, err
		}
	}
	agent.memberlistConfig = listConfig
	agent.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: 2, NumNodes: func() int { return agent.view.Load().Len() + 1 }}
	if agent.memberlist, err = memberlist.Create(listConfig); err != nil {
		_ = agent.transport.Shutdown()
		return nil, err
	}
	return agent, nil
}

func (p *Agent) setMessageLimit(perSecond float64) {
	p.messageLimiter.Store(rate.NewLimiter(rate.Limit(perSecond), int(max(1, perSecond))))
}

// Subscribe has then called with each new view, on the part's loop: who has a loop of its own hands it on there. It belongs to
// the time before Start.
func (p *Agent) Subscribe(callback func(*membership.View)) {
	p.subscribers = append(p.subscribers, callback)
}

// View is what is believed now. Any goroutine may ask.
func (p *Agent) View() *membership.View { return p.view.Load() }

// Start begins to speak.
func (p *Agent) Start() {
	if p.config.StatusSocket != "" {
		statussocket.Serve(p.config.StatusSocket, p.done, p.serveStatus)
	}
	go p.runJoins()
	p.Post(func() {
		p.tick()
		p.joinPeriodically()
		p.pollStatus()
	})
	go p.Run(func() {})
}

// tickInterval is how often the table looks at the time. Danger: it must be often against Stall, or we seem to stand still.
const tickInterval = 100 * time.Millisecond

func (p *Agent) tick() {
	p.mu.Lock()
	for sender := range p.senders {
		p.table.ObserveSender(sender)
	}
	clear(p.senders)
	for _, addr := range p.predecessorCallers {
		p.table.AddPredecessorCaller(addr)
	}
	p.predecessorCallers = p.predecessorCallers[:0]
	p.mu.Unlock()
	p.table.Tick(p.Now())
	p.transport.muted.Store(p.table.HearsNobody())
	for nonce, pending := range p.pendingQueries {
		if p.Now()-pending.sentAt > time.Second {
			delete(p.pendingQueries, nonce)
		}
	}
	p.applyChanges()
	p.logSampler.FlushSuppressed(p.WallTime(), func(transition string, suppressed int) { slog.Info("members", "step", transition, "more", suppressed) })
	if !p.HasQuit() {
		p.ScheduleAt(p.Now()+tickInterval, p.tick)
	}
}

// noteSender notes a sender until the next look. Danger: a flood of packets that each hand the loop a call; and senders without end.
func (p *Agent) noteSender(sender string) {
	const maxSenders = 4096 // many times the members that one process hears in a tenth of a second
	p.mu.Lock()
	if len(p.senders) < maxSenders {
		p.senders[sender] = struct{}{}
	}
	p.mu.Unlock()
}

// notePredecessorCaller notes who called the life before ours until the next look; there is no need for more than a few.
func (p *Agent) notePredecessorCaller(addr string) {
	p.mu.Lock()
	if len(p.predecessorCallers) < cap(p.predecessorCallers) {
		p.predecessorCallers = append(p.predecessorCallers, addr)
	}
	p.mu.Unlock()
}

// applyChanges carries out what the table has come to.
func (p *Agent) applyChanges() {
	for _, change := range p.table.TakeChanges() {
		transition := fmt.Sprintf("%v-%v", change.From, change.To)
		p.transitions[transition]++
		if p.logSampler.Allow(transition, p.WallTime()) {
			slog.Info("member", "name", string(change.Name), "incarnation", uint64(change.Incarnation), "was", change.From, "is", change.To, "why", change.Reason, "view", change.ViewVersion)
		}
	}
	view := p.table.View()
	if view == p.view.Load() {
		return
	}
	p.view.Store(view)
	if view.LocalHealth != p.localHealth {
		slog.Info("standing", "was", p.localHealth, "is", view.LocalHealth, "reach", fmt.Sprintf("%.2f", view.HeardFraction), "members", view.Len(), "view", view.Version)
		p.localHealth = view.LocalHealth
	}
	for _, notify := range p.subscribers {
		notify(view)
	}
}

// pollStatus looks how we stand, and says so at the table's pace; at once where others have to know.
func (p *Agent) pollStatus() {
	if p.HasQuit() {
		return
	}
	p.process.Status(func(status ProcessStatus) {
		p.Post(func() {
			if p.Now() >= p.nextHeartbeat || status.Ready != (p.readySince >= 0) || status.Draining && !p.draining {
				p.broadcastHeartbeat(status)
			} else if p.announcedDigest != p.table.ViewDigest() && !p.draining {
				// What we hold to be so goes to whoever calls next, but is no news for the whole fleet. Danger: views that differ are
				// known to only as soon as each has spoken again, which is many seconds in a large fleet.
				p.buildHeartbeat(status)
			}
		})
	})
	const statusInterval = 250 * time.Millisecond // how late a process that has come up is known to have
	p.ScheduleAt(p.Now()+statusInterval, p.pollStatus)
}

func (p *Agent) broadcastHeartbeat(status ProcessStatus) {
	switch {
	case !status.Ready:
		p.readySince = -1
	case p.readySince < 0:
		p.readySince = p.Now()
	}
	// Half to one and a half times the pace. Danger: hundreds that started at one moment all speak at the same moments.
	p.nextHeartbeat = p.Now() + membership.Jitter(p.table.HeartbeatInterval(), p.random.Float64())
	p.broadcasts.QueueBroadcast(&heartbeatBroadcast{from: p.table.Self().ID(), heartbeat: p.buildHeartbeat(status)})
}

// buildHeartbeat makes our next bulletin, and has it ride on answers to calls.
func (p *Agent) buildHeartbeat(status ProcessStatus) *encodedHeartbeat {
	p.sequence++
	p.announcedDigest = p.table.ViewDigest()
	self := p.table.Self()
	heartbeat := membership.Heartbeat{ID: self.ID(), Incarnation: self.Incarnation, Sequence: p.sequence, Ready: status.Ready, Draining: status.Draining || p.draining, ViewDigest: p.table.ViewDigest(), Metrics: status.Metrics}
	if status.Ready {
		heartbeat.ReadyFor = p.Now() - p.readySince
	}
	for i := range heartbeat.Metrics {
		if heartbeat.Metrics[i].TTL == 0 {
			heartbeat.Metrics[i].TTL = p.table.MetricTTL()
		}
	}
	p.storeHeartbeat(heartbeat)
	return p.ownHeartbeat.Load()
}

func (p *Agent) storeHeartbeat(heartbeat membership.Heartbeat) {
	p.ownHeartbeat.Store(&encodedHeartbeat{encodeHeartbeat(heartbeat), time.Now()})
}

// heartbeatBroadcast is a bulletin on its way through the fleet; its age is written each time it goes out.
type heartbeatBroadcast struct {
	from      membership.ID
	heartbeat *encodedHeartbeat
}

func (b *heartbeatBroadcast) Invalidates(other memberlist.Broadcast) bool {
	otherHeartbeat, isHeartbeat := other.(*heartbeatBroadcast)
	return isHeartbeat && otherHeartbeat.from == b.from
}
func (b *heartbeatBroadcast) Message() []byte { return b.heartbeat.withAge() }
func (b *heartbeatBroadcast) Finished()       {}

// joinPeriodically calls, once a second, whoever may be a part of the fleet that does not know of us.
func (p *Agent) joinPeriodically() {
	if p.HasQuit() {
		return
	}
	if addr, due := p.table.NextJoinAddr(p.Now(), p.random.Float64); due && !p.joining && !p.draining && !p.fenced {
		p.joining = true
		p.joinAddrs <- addr // there is room: one alone is under way
	}
	pause := time.Second
	if p.table.View().Len() == 0 { // alone: soon, and not all at the same moment
		pause = time.Duration((0.1 + 0.4*p.random.Float64()) * float64(time.Second))
	}
	p.ScheduleAt(p.Now()+pause, p.joinPeriodically)
}

// runJoins is the one goroutine that calls.
func (p *Agent) runJoins() {
	for {
		select {
		case <-p.done:
			return
		case addr := <-p.joinAddrs:
			joined, err := p.memberlist.Join([]string{addr})
			p.Post(func() {
				p.joining = false
				p.table.RecordJoin(addr, joined > 0, p.Now(), p.random.Float64)
				if joined > 0 {
					p.table.ObserveAck(p.Now())
					p.table.ObserveSender(hostOf(addr))
				} else if p.logSampler.Allow("call-failed", p.WallTime()) {
					slog.Info("call-failed", "addr", addr, "err", err)
				}
			})
		}
	}
}

// RequestLease asks the desk beside a service below for calls. Any goroutine may call it; the answer, if one comes, goes to Grants.
func (p *Agent) RequestLease(name membership.Name, request concurrencylease.Request) {
	p.Post(func() {
		if member, known := p.table.View().Get(name); known {
			_ = p.memberlist.SendToAddress(memberlist.Address{Addr: member.GossipAddr, Name: member.ID().String()}, encodeLeaseRequest(request, member.ID(), p.table.Self().GossipAddr))
		}
	})
}

// pendingQuery is a query under way.
type pendingQuery struct {
	sentAt   time.Duration
	callback func(w wireQueryReply, age time.Duration)
}

// QueryLoad asks a member how it stands, by one datagram; then is called on the part's loop if a word comes. What does not come within a second
// is not waited for.
func (p *Agent) QueryLoad(name membership.Name, callback func(load float64, age time.Duration)) {
	p.sendQuery(name, func(reply wireQueryReply, age time.Duration) { callback(reply.Load, age) })
}

// QueryStats asks a member what it has done, the same way.
func (p *Agent) QueryStats(name membership.Name, callback func(RequestStats)) {
	p.sendQuery(name, func(reply wireQueryReply, _ time.Duration) {
		callback(RequestStats{reply.Finished, reply.WithinObjective, reply.TotalSeconds})
	})
}

// NotifyPermit tells one life of a member that it has a permit, or that it has begun it. Any goroutine may call it.
func (p *Agent) NotifyPermit(name membership.Name, incarnation membership.Incarnation, number uint64, begun bool) {
	p.Post(func() {
		if member, known := p.table.View().Get(name); known && member.Incarnation == incarnation {
			self := p.table.Self()
			_ = p.memberlist.SendToAddress(memberlist.Address{Addr: member.GossipAddr, Name: member.ID().String()}, encode(kindPermitNotice, wirePermitNotice{member.ID().String(), self.ID().String(), self.GossipAddr, number, begun}))
		}
	})
}

func (p *Agent) sendQuery(name membership.Name, callback func(w wireQueryReply, age time.Duration)) {
	const maxPendingQueries = 1024 // Danger: a fleet that answers nobody; so many are more than a relay asks in a second
	member, known := p.table.View().Get(name)
	if !known || len(p.pendingQueries) >= maxPendingQueries {
		return
	}
	p.lastNonce++
	p.pendingQueries[p.lastNonce] = &pendingQuery{p.Now(), callback}
	message := encode(kindQuery, wireQuery{p.lastNonce, member.ID().String(), p.table.Self().ID().String(), p.table.Self().GossipAddr})
	_ = p.memberlist.SendToAddress(memberlist.Address{Addr: member.GossipAddr, Name: member.ID().String()}, message)
}

// SetConfig takes values that were told anew: keys, seeds and times. What it listens on and is called holds from the next start.
func (p *Agent) SetConfig(config Config) {
	p.Post(func() {
		rotation := membership.PlanKeyRotation(p.config.Keys, config.Keys)
		if keyring := p.memberlistConfig.Keyring; keyring != nil {
			var err error
			for _, key := range rotation.Add {
				err = firstError(err, keyring.AddKey(key))
			}
			if rotation.Primary != nil {
				err = firstError(err, keyring.UseKey(rotation.Primary))
			}
			for _, key := range rotation.Remove {
				err = firstError(err, keyring.RemoveKey(key))
			}
			if len(rotation.Add)+len(rotation.Remove) > 0 || rotation.Primary != nil || err != nil {
				slog.Info("fleet-keys", "added", len(rotation.Add), "used", rotation.Primary != nil, "dropped", len(rotation.Remove), "err", err)
			}
		}
		p.config.Keys, p.config.Membership, p.config.MaxMessageRate = config.Keys, config.Membership, config.MaxMessageRate
		p.table.SetConfig(config.Membership)
		p.setMessageLimit(config.MaxMessageRate)
	})
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Drain is the notice to drain: it is said at once, and the fleet is left shortly before last, a time from now.
func (p *Agent) Drain(timeout time.Duration) {
	p.Post(func() {
		if p.draining {
			return
		}
		p.draining = true
		p.process.Status(func(status ProcessStatus) { p.Post(func() { p.broadcastHeartbeat(status) }) })
		// The word that we left takes some rounds of gossip; half a second of the end is for it.
		const leaveNotice = 500 * time.Millisecond
		p.ScheduleAt(p.Now()+max(0, timeout-leaveNotice), func() { go p.leaveFleet(min(timeout, leaveNotice) / 2) })
	})
}

func (p *Agent) leaveFleet(timeout time.Duration) {
	p.leaveMemberlist(timeout)
	p.Post(func() {
		if p.HasQuit() {
			return
		}
		p.Quit()
		close(p.done)
	})
}

// leaveMemberlist says that we leave, to all that hear it within that time, and ends the gossip.
func (p *Agent) leaveMemberlist(timeout time.Duration) {
	p.leaveOnce.Do(func() {
		_ = p.memberlist.Leave(timeout)
		_ = p.memberlist.Shutdown()
	})
}

// Drained tells whether the fleet has been left.
func (p *Agent) Drained() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// fence ends our part in the fleet: a later life has our name.
func (p *Agent) fence() {
	if p.fenced {
		return
	}
	p.fenced = true
	slog.Warn("fenced", "name", string(p.config.Name), "incarnation", uint64(p.table.Self().Incarnation), "leaves", p.config.LeaveWhenFenced)
	p.applyChanges()
	// Danger: shutting down without a word would have the detector doubt a life that is over anyway; with one it says the old
	// life has left, which nobody takes for the new one.
	go p.leaveMemberlist(200 * time.Millisecond)
	if p.config.LeaveWhenFenced {
		p.process.Fenced()
	}
}

// handleAlive hands a claim to the table and does what it says.
func (p *Agent) handleAlive(descriptor membership.Descriptor) {
	switch p.table.HandleAlive(descriptor, p.Now()) {
	case membership.AliveOutdated:
		p.notifyFenced(descriptor)
	case membership.AliveIncarnationRaised:
		slog.Info("incarnation-raised", "name", string(p.config.Name), "incarnation", uint64(p.table.Self().Incarnation))
		go func() { _ = p.memberlist.UpdateNode(time.Second) }()
	case membership.AliveFenced:
		p.fence()
	}
	p.applyChanges()
}

// notifyFenced says to an old life that it is over, if that is on us.
func (p *Agent) notifyFenced(outdated membership.Descriptor) {
	if !p.table.ShouldNotifyFenced(outdated.ID(), p.Now()) {
		return
	}
	notice := wireFenceNotice{Name: string(outdated.Name)}
	if self := p.table.Self(); outdated.Name == self.Name {
		notice.Incarnation, notice.BootID = uint64(self.Incarnation), uint64(self.BootID)
	} else if successor, known := p.table.View().Get(outdated.Name); known {
		notice.Incarnation, notice.BootID = uint64(successor.Incarnation), uint64(successor.BootID)
	}
	addr, err := net.ResolveUDPAddr("udp", outdated.GossipAddr) // an address in figures: nothing is looked up
	if err != nil {
		return
	}
	message := encode(kindFenceNotice, notice)
	destination := memberlist.Address{Addr: addr.String(), Name: outdated.ID().String()}
	go func() { _ = p.memberlist.SendToAddress(destination, message) }()
}

// The rest is what the library calls, on goroutines of its own.

// NodeMeta is memberlist.Delegate.
func (p *Agent) NodeMeta(limit int) []byte { return encodeDescriptor(p.view.Load().Self) }

// NotifyAlive is memberlist.AliveDelegate: it refuses what can't be a member before it is gossiped on. Danger: names without end.
func (p *Agent) NotifyAlive(node *memberlist.Node) error {
	descriptor, err := decodeDescriptor(node.Name, node.Address(), node.Meta)
	if err == nil {
		view := p.view.Load()
		if _, known := view.Get(descriptor.Name); !known && descriptor.Name != view.Self.Name && view.Len() >= p.config.Membership.MaxMembers && view.Count(membership.StateGone) == 0 {
			err = errTooLarge
		}
	}
	if err != nil {
		p.rejectedDescriptors.Add(1)
	}
	return err
}

// NotifyJoin is memberlist.EventDelegate.
func (p *Agent) NotifyJoin(node *memberlist.Node) {
	if descriptor, err := decodeDescriptor(node.Name, node.Address(), node.Meta); err == nil {
		p.Post(func() { p.handleAlive(descriptor) })
	}
}

// NotifyUpdate is memberlist.EventDelegate.
func (p *Agent) NotifyUpdate(node *memberlist.Node) { p.NotifyJoin(node) }

// NotifyLeave is memberlist.EventDelegate.
func (p *Agent) NotifyLeave(node *memberlist.Node) {
	if id, ok := membership.ParseID(node.Name); ok {
		left := node.State == memberlist.StateLeft
		p.Post(func() {
			if left {
				p.table.HandleLeft(id, p.Now())
			} else {
				p.table.HandleUnreachable(id, p.Now())
			}
			p.applyChanges()
		})
	}
}

// NotifyConflict is memberlist.ConflictDelegate: one life at two addresses, which only a copied process could be.
func (p *Agent) NotifyConflict(existing, other *memberlist.Node) {
	slog.Warn("conflict", "life", existing.Name, "here", existing.Address(), "there", other.Address())
}

// AckPayload is memberlist.PingDelegate: whoever calls hears how we stand, first hand.
func (p *Agent) AckPayload() []byte { return p.ownHeartbeat.Load().withAge() }

// NotifyPingComplete is memberlist.PingDelegate.
func (p *Agent) NotifyPingComplete(other *memberlist.Node, rtt time.Duration, payload []byte) {
	message := append([]byte(nil), payload...)
	p.Post(func() {
		p.table.ObserveAck(p.Now())
		p.handleMessage(message, rtt/2)
	})
}

// NotifyMsg is memberlist.Delegate. Danger: a member gone wild that floods the others; past the rate its messages are dropped, as
// is what it can be made good by: the next bulletin.
func (p *Agent) NotifyMsg(message []byte) {
	if !p.messageLimiter.Load().Allow() {
		p.rateLimited.Add(1)
		return
	}
	message = append([]byte(nil), message...)
	p.Post(func() { p.handleMessage(message, 0) })
}

// handleMessage reads one and hands it to the table; what is new goes on to others.
func (p *Agent) handleMessage(message []byte, transit time.Duration) {
	kind, age, body, err := splitHead(message)
	if err == nil {
		switch kind {
		case kindHeartbeat:
			var decoded membership.Heartbeat
			if decoded, err = decodeHeartbeat(body); err == nil && p.table.HandleHeartbeat(decoded, age+transit, p.Now()) {
				p.broadcasts.QueueBroadcast(&heartbeatBroadcast{from: decoded.ID, heartbeat: &encodedHeartbeat{append([]byte(nil), message...), time.Now().Add(-age - transit)}})
				p.applyChanges()
			}
		case kindQuery:
			var received wireQuery
			if err = decode(body, &received); err == nil && received.To == p.table.Self().ID().String() {
				p.process.Load(func(load float64, stats RequestStats) {
					message := encode(kindQueryReply, wireQueryReply{received.Nonce, load, stats.Finished, stats.WithinObjective, stats.TotalSeconds})
					p.Post(func() {
						_ = p.memberlist.SendToAddress(memberlist.Address{Addr: received.ReplyAddr, Name: received.From}, message)
					})
				})
			}
		case kindQueryReply:
			var reply wireQueryReply
			if err = decode(body, &reply); err == nil {
				if request := p.pendingQueries[reply.Nonce]; request != nil { // any other is late, or nobody's
					delete(p.pendingQueries, reply.Nonce)
					request.callback(reply, (p.Now()-request.sentAt)/2)
				}
			}
		case kindLeaseRequest:
			var request concurrencylease.Request
			var addr string
			if request, addr, err = decodeLeaseRequest(body, p.table.Self().ID()); err == nil && p.OnLeaseRequest != nil {
				p.OnLeaseRequest(request, func(lease concurrencylease.Lease) {
					message := encodeLease(lease)
					p.Post(func() {
						_ = p.memberlist.SendToAddress(memberlist.Address{Addr: addr, Name: request.Holder.String()}, message)
					})
				})
			}
		case kindPermitNotice:
			var decoded wirePermitNotice
			if err = decode(body, &decoded); err == nil && decoded.To == p.table.Self().ID().String() && decoded.Number > 0 && p.config.DrainByPermit {
				// Danger: a permit that was withdrawn while its word was on the way. It begins by a word of ours that the stewards agree on, and only what
				// they say has begun is gone by.
				if decoded.Begun {
					p.process.Drain(decoded.Number)
				} else {
					self := p.table.Self()
					_ = p.memberlist.SendToAddress(memberlist.Address{Addr: decoded.ReplyAddr, Name: decoded.From}, encode(kindPermitBegin, wirePermitBegin{decoded.From, self.ID().String(), self.GossipAddr, uint64(self.Incarnation), decoded.Number}))
				}
			}
		case kindPermitBegin:
			var decoded wirePermitBegin
			if err = decode(body, &decoded); err == nil && decoded.To == p.table.Self().ID().String() && p.OnPermitBegin != nil {
				if id, ok := membership.ParseID(decoded.From); ok {
					p.OnPermitBegin(id.Name, membership.Incarnation(decoded.Incarnation), decoded.Number, func() { p.NotifyPermit(id.Name, membership.Incarnation(decoded.Incarnation), decoded.Number, true) })
				}
			}
		case kindLease:
			var lease concurrencylease.Lease
			if lease, err = decodeLease(body); err == nil && p.OnLease != nil {
				p.OnLease(lease)
			}
		case kindFenceNotice:
			var decoded wireFenceNotice
			if err = decode(body, &decoded); err == nil && membership.Name(decoded.Name) == p.config.Name {
				switch p.table.HandleFenceNotice(membership.Incarnation(decoded.Incarnation), membership.BootID(decoded.BootID), p.Now()) {
				case membership.AliveFenced:
					p.fence()
				case membership.AliveIncarnationRaised:
					go func() { _ = p.memberlist.UpdateNode(time.Second) }()
				}
				p.applyChanges()
			}
		default:
			err = errUnknownKind
		}
	}
	if err != nil {
		p.malformed.Add(1)
	}
}

// GetBroadcasts is memberlist.Delegate.
func (p *Agent) GetBroadcasts(overhead, limit int) [][]byte {
	return p.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState is memberlist.Delegate: all that we believe of the others' bulletins, for one that joins or was away.
func (p *Agent) LocalState(join bool) []byte {
	view := p.view.Load()
	messages := [][]byte{p.ownHeartbeat.Load().withAge()}
	now := time.Since(p.start)
	for member := range view.All() {
		if member.Sequence == 0 || member.State == membership.StateGone || member.State == membership.StateFenced {
			continue
		}
		heartbeat, age := member.Heartbeat(now)
		messages = append(messages, setAge(encodeHeartbeat(heartbeat), age))
	}
	return encodeState(messages)
}

// MergeRemoteState is memberlist.Delegate.
func (p *Agent) MergeRemoteState(state []byte, join bool) {
	if err := decodeState(state, p.config.Membership.MaxMembers+1, func(message []byte) {
		message = append([]byte(nil), message...)
		p.Post(func() { p.handleMessage(message, 0) })
	}); err != nil {
		p.malformed.Add(1)
	}
}

// counters is what came and what became of it.
func (p *Agent) counters() map[string]uint64 {
	stats := p.table.Stats
	counters := map[string]uint64{"packets-in": p.transport.packetsIn.Load(), "packets-out": p.transport.packetsOut.Load(), "bytes-in": p.transport.bytesIn.Load(), "bytes-out": p.transport.bytesOut.Load(),
		"kept-back": p.transport.suppressed.Load(), "dropped": p.rateLimited.Load(), "bad": p.malformed.Load(), "refused": p.rejectedDescriptors.Load() + stats.RejectedFull,
		"changes": stats.Transitions, "stale": stats.StaleHeartbeats, "oversized": stats.InvalidHeartbeats, "fenced": stats.OutdatedIncarnations, "refuted": stats.RefutedSuspicions, "stood-still": stats.Stalls}
	for code, n := range p.libraryLog.countsByCode() {
		counters["gossip-"+code] = n
	}
	maps.Copy(counters, p.transitions)
	return counters
}
