// Package gossip is the part of a process that speaks to the other members of its fleet. What it hears goes to a
// members.Table, on a loop of its own; what that decides is carried out here and handed to whoever has subscribed.
package gossip

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log"
	"log/slog"
	mathrand "math/rand/v2"
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
	maxMembers          atomic.Int64  // config.Membership.MaxMembers, for memberlist's goroutines
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

	// Desk hears who asks for calls to the service that we stand beside, Grants what was granted to us. Nil where there
	// is none; on our loop, set before Start. answer may be called on any goroutine.
	OnLeaseRequest func(a concurrencylease.Request, answer func(concurrencylease.Lease))
	OnLease        func(g concurrencylease.Lease)
	// Begins hears that a member would begin its permit, where we are a steward; done is called once it has. The same
	// holds of it.
	OnPermitBegin func(name membership.Name, of membership.Incarnation, number uint64, done func())
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
		// A start by the clock is mostly above the life before; where the clock went back, the number is learnt
		// (members.Table).
		Incarnation: membership.Incarnation(max(1, time.Now().UnixMilli())),
		Zone:        config.Zone, Release: config.Release, Capacity: config.Capacity, WarmUp: config.WarmUp}
	agent := &Agent{Loop: eventloop.New(1 << 14), start: time.Now(), senders: map[string]struct{}{}, predecessorCallers: make([]string, 0, 4), pendingQueries: map[uint64]*pendingQuery{}, config: config, process: process, libraryLog: &libraryLog{counts: map[string]uint64{}},
		random: mathrand.New(mathrand.NewPCG(seed, uint64(self.BootID))), joinAddrs: make(chan string, 1), done: make(chan struct{}), readySince: -1, transitions: map[string]uint64{}}
	agent.libraryLog.onPredecessorCaller = agent.notePredecessorCaller
	agent.table = membership.NewTable(self, config.Membership, 0)
	agent.view.Store(agent.table.View())
	agent.setMessageLimit(config.MaxMessageRate)
	agent.maxMembers.Store(int64(config.Membership.MaxMembers))
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

// Subscribe has then called with each new view, on the part's loop: who has a loop of its own hands it on there. It
// belongs to the time before Start.
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

// tickInterval is how often the table looks at the time. Danger: it must be often against Stall, or we seem to stand
// still.
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

// SetConfig takes values that were told anew: keys, seeds and times. What it listens on and is called holds from the
// next start.
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
		p.maxMembers.Store(int64(config.Membership.MaxMembers))
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
