package gossip

import (
	"crypto/rand"
	"encoding/binary"
	"log"
	mathrand "math/rand/v2"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/eventloop"
	"lanewheel/internal/membership"
)

// Parameters of memberlist's configuration.
const (
	// With 4, the suspicion timeout drops to its minimum only after two other members have confirmed the suspicion.
	suspicionMultiplier    = 4
	maxSuspicionMultiplier = 3
	gossipInterval         = 100 * time.Millisecond
	gossipNodes            = 3
	retransmitMultiplier   = 3
	heartbeatRetransmits   = 2 // later heartbeats soon replace earlier ones
	gossipToDeadTime       = 30 * time.Second
	// memberlist lengthens the interval between state exchanges in larger fleets. Members whose views differ exchange
	// their states earlier, by a join (membership.Table.NextJoinAddr).
	pushPullInterval = 10 * time.Second
	// Allows for several round trips on a poor link. A join blocks only the goroutine of runJoins.
	streamTimeout       = 2 * time.Second
	deadNodeReclaimTime = time.Second
)

// maxPendingCallbacks is the maximum length of the event loop's queue.
const maxPendingCallbacks = 1 << 14

// New returns an agent with open sockets. It returns an error if an address or a key of config is not valid or if a
// socket cannot be opened. The agent sends nothing before Start. seed seeds the agent's random numbers, which
// determine jitter and the choice of addresses to join.
func New(config Config, process Process, seed uint64) (*Agent, error) {
	if config.AdvertiseAddr == "" {
		config.AdvertiseAddr = config.ListenAddr
	}
	self, err := newDescriptor(config)
	if err != nil {
		return nil, err
	}
	agent := newAgent(config, process, self, seed)
	agent.memberlistConfig, err = newMemberlistConfig(config, self)
	if err != nil {
		return nil, err
	}
	if err := agent.listen(); err != nil {
		return nil, err
	}
	return agent, nil
}

// newDescriptor returns the descriptor of this process. The incarnation is the Unix time in milliseconds and thus
// usually higher than that of the predecessor. If the clock was set back in between, the incarnation is raised once
// the predecessor's is known (membership.Table.HandleAlive).
func newDescriptor(config Config) (membership.Descriptor, error) {
	var bootID [8]byte
	if _, err := rand.Read(bootID[:]); err != nil {
		return membership.Descriptor{}, err
	}
	return membership.Descriptor{
		Name:        config.Name,
		Incarnation: membership.Incarnation(max(1, time.Now().UnixMilli())),
		BootID:      membership.BootID(binary.BigEndian.Uint64(bootID[:])),
		GossipAddr:  config.AdvertiseAddr,
		ServiceAddr: config.ServiceAddr,
		Roles:       config.Roles,
		Zone:        config.Zone,
		Release:     config.Release,
		Capacity:    config.Capacity,
		WarmUp:      config.WarmUp,
	}, nil
}

// newAgent returns an agent without sockets.
func newAgent(config Config, process Process, self membership.Descriptor, seed uint64) *Agent {
	agent := &Agent{
		Loop:        eventloop.New(maxPendingCallbacks),
		config:      config,
		process:     process,
		table:       membership.NewTable(self, config.Membership, 0),
		random:      mathrand.New(mathrand.NewPCG(seed, uint64(self.BootID))),
		start:       time.Now(),
		queries:     queries{pending: map[uint64]*pendingQuery{}},
		joinAddrs:   make(chan string, 1),
		transitions: map[string]uint64{},
		done:        make(chan struct{}),
	}
	agent.libraryLog = newLibraryLog(agent.inbox.notePredecessorCaller)
	agent.view.Store(agent.table.View())
	agent.setMessageLimit(config.MaxMessageRate)
	agent.maxMembers.Store(int64(config.Membership.MaxMembers))
	agent.storeHeartbeat(membership.Heartbeat{ID: self.ID(), Incarnation: self.Incarnation})
	agent.broadcasts = &memberlist.TransmitLimitedQueue{
		RetransmitMult: heartbeatRetransmits,
		NumNodes:       func() int { return agent.view.Load().Len() + 1 },
	}
	return agent
}

// newMemberlistConfig returns memberlist's configuration without the fields that refer to the agent.
func newMemberlistConfig(config Config, self membership.Descriptor) (*memberlist.Config, error) {
	listenIP, listenPort, err := parseAddr(config.ListenAddr)
	if err != nil {
		return nil, err
	}
	advertiseIP, advertisePort, err := parseAddr(config.AdvertiseAddr)
	if err != nil {
		return nil, err
	}
	memberlistConfig := memberlist.DefaultLANConfig()
	memberlistConfig.Name = self.ID().String()
	memberlistConfig.Label = config.Cluster
	memberlistConfig.BindAddr = listenIP.String()
	memberlistConfig.BindPort = listenPort
	memberlistConfig.AdvertiseAddr = advertiseIP.String()
	memberlistConfig.AdvertisePort = advertisePort
	memberlistConfig.ProbeInterval = config.ProbeInterval
	memberlistConfig.ProbeTimeout = config.ProbeInterval / 2
	memberlistConfig.SuspicionMult = suspicionMultiplier
	memberlistConfig.SuspicionMaxTimeoutMult = maxSuspicionMultiplier
	memberlistConfig.GossipInterval = gossipInterval
	memberlistConfig.GossipNodes = gossipNodes
	memberlistConfig.RetransmitMult = retransmitMultiplier
	memberlistConfig.GossipToTheDeadTime = gossipToDeadTime
	memberlistConfig.EnableCompression = false // the compressor allocates far more than the size of each message
	memberlistConfig.PushPullInterval = pushPullInterval
	memberlistConfig.TCPTimeout = streamTimeout
	memberlistConfig.DeadNodeReclaimTime = deadNodeReclaimTime
	if len(config.Keys) > 0 {
		if memberlistConfig.Keyring, err = newKeyring(config.Keys); err != nil {
			return nil, err
		}
	}
	return memberlistConfig, nil
}

func newKeyring(keys []membership.Key) (*memberlist.Keyring, error) {
	raw := make([][]byte, 0, len(keys))
	for _, key := range keys {
		raw = append(raw, key)
	}
	return memberlist.NewKeyring(raw, raw[0])
}

// listen opens the sockets and starts memberlist. If it returns an error, no socket remains open.
func (a *Agent) listen() error {
	logger := log.New(a.libraryLog, "", 0)
	memberlistConfig := a.memberlistConfig
	var err error
	a.transport, err = newTransport(
		net.ParseIP(memberlistConfig.BindAddr), memberlistConfig.BindPort, logger, a.inbox.noteSender,
	)
	if err != nil {
		return err
	}
	memberlistConfig.Transport = a.transport
	memberlistConfig.Logger = logger
	memberlistConfig.Delegate = delegate{a}
	memberlistConfig.Events = delegate{a}
	memberlistConfig.Alive = delegate{a}
	memberlistConfig.Ping = delegate{a}
	memberlistConfig.Conflict = delegate{a}
	a.memberlist, err = memberlist.Create(memberlistConfig)
	if err != nil {
		_ = a.transport.Shutdown() // the error of Create is the one to report
		return err
	}
	return nil
}
