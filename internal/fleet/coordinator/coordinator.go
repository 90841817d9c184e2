// Package coordinator implements a coordinator: one of the few processes that replicate the agreed state of the fleet.
// The state is that of internal/coordination; hashicorp/raft replicates it, with a log and snapshots on disk. The
// leader observes the members of the fleet and advances permits and rollouts. Every coordinator answers operators; only
// the leader accepts their commands.
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

// Fleet provides a coordinator with a view of the members and sends messages to them. Its methods must not block and
// may be called from any goroutine.
type Fleet interface {
	// View returns the current view of the membership.
	View() *membership.View
	// NotifyPermit notifies an incarnation of a member that it holds a permit, or that the permit it holds has begun.
	NotifyPermit(name membership.Name, incarnation membership.Incarnation, permitID uint64, begun bool)
	// QueryStats requests a member's request statistics since its start. The callback may run on any goroutine, or
	// never.
	QueryStats(name membership.Name, callback func(gossip.RequestStats))
}

// Coordinator is one of the processes that replicate the agreed state. Its exported methods may be called from any
// goroutine.
type Coordinator struct {
	config       Config
	replica      *replica
	streamLayer  *streamLayer
	fleet        Fleet     // set by Serve, before its loops start
	startedAt    time.Time // LeaderTime of its commands is the time since then
	clusterKeys  atomic.Pointer[[]membership.Key]
	shuttingDown atomic.Bool
	shutdownOnce sync.Once
	closed       chan struct{} // closed to stop the loops
	loops        sync.WaitGroup

	leadership *leadership // owned by leadLoop; nil while this coordinator does not lead
}

// New opens a coordinator's data directory and its listener. Serve then joins it to the other coordinators. New returns
// a DataDirError if the data directory cannot be used.
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
		_ = c.streamLayer.Close() // the error of the data directory takes precedence
		return nil, err
	}
	close(c.streamLayer.ready)
	return c, nil
}

// SetClusterKeys replaces the cluster keys. Only connections opened afterwards use the new keys.
func (c *Coordinator) SetClusterKeys(keys []membership.Key) { c.clusterKeys.Store(&keys) }

func (c *Coordinator) loadClusterKeys() []membership.Key { return *c.clusterKeys.Load() }

// Serve runs the coordinator and blocks until Shutdown has stopped it.
func (c *Coordinator) Serve(fleet Fleet) {
	c.fleet = fleet
	c.loops.Add(2)
	go c.joinLoop()
	go c.leadLoop()
	<-c.closed
	c.loops.Wait()
	_ = c.streamLayer.Close() // the listener is no longer needed
	c.replica.close()
}

// Shutdown stops Serve without waiting for it to return. A leader first transfers its leadership, so that the fleet
// does not have to wait for an election.
func (c *Coordinator) Shutdown() {
	c.shutdownOnce.Do(func() {
		c.shuttingDown.Store(true)
		go func() {
			if c.IsLeader() {
				_ = c.replica.raft.LeadershipTransfer().Error() // if it fails, the others elect a leader
			}
			close(c.closed)
		}()
	})
}

// Ready reports whether this coordinator knows the leader.
func (c *Coordinator) Ready() bool { return c.replica.leaderAddr() != "" }

// IsLeader reports whether this coordinator is the leader.
func (c *Coordinator) IsLeader() bool {
	_, isLeader := c.replica.leaderTerm()
	return isLeader
}

// acceptsCommands reports whether this coordinator is the leader and is not shutting down.
func (c *Coordinator) acceptsCommands() bool { return c.IsLeader() && !c.shuttingDown.Load() }

// propose replicates a command and returns its reply. It blocks until the command is applied or fails. It returns
// client.ErrNoQuorum if this coordinator is not the leader, or an error that wraps it if replication fails; in the
// latter case the command may still have been committed.
func (c *Coordinator) propose(command coordination.Command) (coordination.Reply, error) {
	term, isLeader := c.replica.leaderTerm()
	if !isLeader {
		return coordination.Reply{}, client.ErrNoQuorum
	}
	command.Term = term
	command.LeaderTime = time.Since(c.startedAt) // monotonic
	return c.replica.apply(command)
}

// BeginPermit proposes the command that begins a member's permit. It returns at once. Once the command is accepted,
// onBegun is called on a separate goroutine. onBegun is never called if the command is refused, if its replication
// fails, or if this coordinator is not the leader or is shutting down.
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
		case err != nil: // the member repeats its request
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

// joinLoop requests to join while this coordinator is not a voter, with a random pause between attempts. It sends no
// request while the coordinator bootstraps a new cluster. It returns when the coordinator is closed.
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

// requestJoin asks the leader to add this coordinator as a voter.
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
