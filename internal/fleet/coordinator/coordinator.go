// Package coordinator is one of the few processes that hold what the fleet has agreed: the state of
// internal/coordination, replicated by hashicorp/raft with a log and snapshots on disk. The leader observes the
// fleet's members and advances permits and rollouts; any coordinator answers operators.
package coordinator

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/fleet/coordinator/config"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// Config is the configuration of a coordinator.
type Config = coordinatorconfig.Config

// Fleet is how a coordinator sees and reaches the members. Its methods do not block and are called from any goroutine.
type Fleet interface {
	View() *membership.View
	// NotifyPermit tells an incarnation of a member that it holds a permit, or that the one it holds has begun.
	NotifyPermit(name membership.Name, incarnation membership.Incarnation, permitID uint64, begun bool)
	// QueryStats asks a member what it has done since its start; then may never be called, or on any goroutine.
	QueryStats(name membership.Name, callback func(gossip.RequestStats))
}

// Coordinator is one of the processes that hold what is agreed. Its exported methods may be called from any goroutine.
type Coordinator struct {
	config       Config
	replica      *replica
	streamLayer  *streamLayer
	fleet        Fleet     // set by Serve, before its loops start
	startedAt    time.Time // what LeaderTime of its commands counts from
	clusterKeys  atomic.Pointer[[]membership.Key]
	shuttingDown atomic.Bool
	shutdownOnce sync.Once
	closed       chan struct{} // ends the loops
	loops        sync.WaitGroup

	leadership *leadership // owned by leadLoop; nil while another one leads
}

// New opens a coordinator's folder and listener; Serve joins it to the others. A folder that can't be gone on with is
// a DataDirError.
func New(config Config) (*Coordinator, error) {
	if config.AdvertiseAddr == "" {
		config.AdvertiseAddr = config.ListenAddr
	}
	c := &Coordinator{config: config, closed: make(chan struct{}), startedAt: time.Now()}
	c.SetClusterKeys(config.ClusterKeys)
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", config.ListenAddr)
	if err != nil {
		return nil, err
	}
	c.streamLayer = newStreamLayer(c, listener)
	c.replica, err = openReplica(config, c.streamLayer)
	if err != nil {
		_ = c.streamLayer.Close() // the folder's error is what matters
		return nil, err
	}
	close(c.streamLayer.ready)
	return c, nil
}

// SetClusterKeys replaces the keys for connections that begin later.
func (c *Coordinator) SetClusterKeys(keys []membership.Key) { c.clusterKeys.Store(&keys) }

func (c *Coordinator) loadClusterKeys() []membership.Key { return *c.clusterKeys.Load() }

// Serve does a coordinator's work and blocks until Shutdown has ended it.
func (c *Coordinator) Serve(fleet Fleet) {
	c.fleet = fleet
	c.loops.Add(2)
	go c.joinLoop()
	go c.leadLoop()
	<-c.closed
	c.loops.Wait()
	_ = c.streamLayer.Close() // of a listener that is not needed any more
	c.replica.close()
}

// Shutdown has Serve end, and does not wait for it. A leader hands its leadership over first, so that nothing waits
// for an election.
func (c *Coordinator) Shutdown() {
	c.shutdownOnce.Do(func() {
		c.shuttingDown.Store(true)
		go func() {
			if c.IsLeader() {
				_ = c.replica.raft.LeadershipTransfer().Error() // without it the others elect a leader
			}
			close(c.closed)
		}()
	})
}

// Ready tells whether a leader is known.
func (c *Coordinator) Ready() bool { return c.replica.leaderAddr() != "" }

// IsLeader tells whether this coordinator leads.
func (c *Coordinator) IsLeader() bool {
	_, isLeader := c.replica.leaderTerm()
	return isLeader
}

// acceptsCommands tells whether this coordinator leads and is not about to end.
func (c *Coordinator) acceptsCommands() bool { return c.IsLeader() && !c.shuttingDown.Load() }

// propose has a command agreed on. It blocks, and returns an error that is client.ErrNoQuorum where that fails: the
// command may have been agreed on all the same.
func (c *Coordinator) propose(command coordination.Command) (coordination.Reply, error) {
	term, isLeader := c.replica.leaderTerm()
	if !isLeader {
		return coordination.Reply{}, client.ErrNoQuorum
	}
	command.Term = term
	command.LeaderTime = time.Since(c.startedAt) // monotonic
	return c.replica.apply(command)
}

// BeginPermit has it agreed that a member begins its permit. It returns at once; begun is called on a goroutine of
// its own once that is agreed, and never if it is refused or this coordinator does not lead.
func (c *Coordinator) BeginPermit(
	name membership.Name, incarnation membership.Incarnation, permitID uint64, onBegun func(),
) {
	go func() {
		if !c.acceptsCommands() {
			return
		}
		reply, err := c.propose(coordination.Command{
			Kind:        coordination.KindBeginPermit,
			RequestedBy: string(name),
			Member:      name,
			Incarnation: incarnation,
			PermitID:    coordination.PermitID(permitID),
		})
		switch {
		case err != nil: // the member asks again
		case reply.OK:
			onBegun()
		default:
			slog.Info("permit refused", "permit", permitID, "member", string(name), "reason", reply.Reason)
		}
	}()
}

const (
	minJoinPause = 200 * time.Millisecond
	maxJoinPause = 2 * time.Second
)

// joinLoop asks the other coordinators to be made a voter for as long as this one is none.
func (c *Coordinator) joinLoop() {
	defer c.loops.Done()
	pause := minJoinPause
	for {
		select {
		case <-c.closed:
			return
		case <-time.After(pause + time.Duration(rand.Int64N(int64(pause)))):
		}
		isBootstrapping := c.config.Bootstrap && c.replica.raft.LastIndex() == 0
		if c.replica.isVoter() || isBootstrapping {
			pause = maxJoinPause
			continue
		}
		if err := c.requestJoin(); err != nil {
			slog.Info("join failed, retrying", "err", err)
			pause = min(2*pause, maxJoinPause)
		}
	}
}

// requestJoin asks the leader to make this coordinator a voter.
func (c *Coordinator) requestJoin() error {
	var others []string
	for _, addr := range c.config.Coordinators {
		if addr != c.config.AdvertiseAddr {
			others = append(others, addr)
		}
	}
	coordinators := client.Client{
		Coordinators: others,
		Keys:         c.loadClusterKeys(),
		LocalIP:      c.config.LocalIP,
		Timeout:      5 * time.Second,
	}
	join := &client.JoinRequest{ID: string(c.replica.id), Addr: c.config.AdvertiseAddr}
	response, err := coordinators.Do(client.Request{Join: join})
	if err != nil {
		return err
	}
	return response.Err()
}
