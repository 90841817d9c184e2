package coordinator

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// Fleet is how a steward sees and reaches the others.
type Fleet interface {
	View() *membership.View
	// Nudge tells a member that it has a permit, and of the one that has begun that it has.
	NotifyPermit(name membership.Name, of membership.Incarnation, number uint64, begun bool)
	// Figures asks a member what it has done since its start; then may never be called, or on any goroutine.
	QueryStats(name membership.Name, then func(gossip.RequestStats))
}

// Coordinator is one of those that hold what is agreed.
type Coordinator struct {
	config              Config
	replica             *replica
	fleet               Fleet
	streamLayer         *streamLayer
	rejectedConnections atomic.Uint64
	clusterKeys         atomic.Pointer[[]membership.Key]
	closed              chan struct{}
	loops               sync.WaitGroup
	shutdownOnce        sync.Once
	startedAt           time.Time
	shuttingDown        atomic.Bool

	leadership *leadership // nil while another leads; the leading goroutine's
}

// New opens a steward's folder and listener; Fleet joins it to the others.
func New(config Config) (*Coordinator, error) {
	if config.AdvertiseAddr == "" {
		config.AdvertiseAddr = config.ListenAddr
	}
	s := &Coordinator{config: config, closed: make(chan struct{}), startedAt: time.Now()}
	s.clusterKeys.Store(&config.ClusterKeys)
	listener, err := net.Listen("tcp", config.ListenAddr)
	if err != nil {
		return nil, err
	}
	s.streamLayer = newStreamLayer(s, listener)
	if s.replica, err = openReplica(config, s.streamLayer); err != nil {
		s.streamLayer.Close()
		return nil, err
	}
	close(s.streamLayer.ready)
	return s, nil
}

func (s *Coordinator) loadClusterKeys() []membership.Key { return *s.clusterKeys.Load() }

// SetClusterKeys takes keys that were told anew.
func (s *Coordinator) SetClusterKeys(keys []membership.Key) { s.clusterKeys.Store(&keys) }

// Serve goes on until Leave.
func (s *Coordinator) Serve(fleet Fleet) {
	s.fleet = fleet
	s.loops.Add(2)
	go s.joinLoop()
	go s.leadLoop()
	<-s.closed
	s.loops.Wait()
	s.streamLayer.Close()
	s.replica.close()
}

// Shutdown ends it. One that leads hands that over first, so that nothing waits for an election.
func (s *Coordinator) Shutdown() {
	s.shutdownOnce.Do(func() {
		s.shuttingDown.Store(true)
		go func() {
			if _, isLeader := s.replica.leaderTerm(); isLeader {
				_ = s.replica.raft.LeadershipTransfer().Error()
			}
			close(s.closed)
		}()
	})
}

// Ready tells whether there is a leader that this one knows.
func (s *Coordinator) Ready() bool { return s.replica.leaderAddr() != "" }

// IsLeader tells whether it is this one.
func (s *Coordinator) IsLeader() bool { _, isLeader := s.replica.leaderTerm(); return isLeader }

// joinLoop asks to be one of those that agree for as long as it is not.
func (s *Coordinator) joinLoop() {
	defer s.loops.Done()
	pause := 200 * time.Millisecond
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(pause + time.Duration(rand.Int64N(int64(pause)))):
		}
		if s.replica.isVoter() || s.config.Bootstrap && s.replica.raft.LastIndex() == 0 {
			pause = 2 * time.Second
			continue
		}
		var others []string
		for _, addr := range s.config.Coordinators {
			if addr != s.config.AdvertiseAddr {
				others = append(others, addr)
			}
		}
		response, err := client.Client{Coordinators: others, Keys: s.loadClusterKeys(), LocalIP: s.config.LocalIP, Timeout: 5 * time.Second}.Do(client.Request{Join: &client.JoinRequest{ID: string(s.replica.id), Addr: s.config.AdvertiseAddr}})
		if err == nil && response.Error != "" {
			err = errors.New(response.Error)
		}
		if err != nil {
			slog.Info("steward-waits", "for", "one that takes it in", "err", err)
			pause = min(2*pause, 2*time.Second)
		}
	}
}

// BeginPermit hears that a member would begin its permit; done is called once it is agreed that it has.
func (s *Coordinator) BeginPermit(name membership.Name, incarnation membership.Incarnation, permitID uint64, begun func()) {
	go func() {
		if _, isLeader := s.replica.leaderTerm(); !isLeader || s.shuttingDown.Load() {
			return
		}
		reply, err := s.propose(coordination.Command{Kind: coordination.KindBeginPermit, RequestedBy: string(name), Member: name, Incarnation: incarnation, PermitID: coordination.PermitID(permitID)})
		if err == nil && reply.OK {
			begun()
		} else if err == nil {
			slog.Info("permit-refused", "number", permitID, "member", string(name), "why", reply.Reason)
		}
	}()
}
