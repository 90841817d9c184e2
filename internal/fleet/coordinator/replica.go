// Package coordinator is one of the few processes that hold what the fleet has agreed: internal/coordination's state, kept alike by hashicorp/raft with a log and
// snapshots on disk. The one that leads has the fleet's members, the permits and the releases go on; any of them answers operators.
package coordinator

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	wal "github.com/hashicorp/raft-wal"
	"github.com/hashicorp/raft-wal/metadb"

	"lanewheel/internal/coordination"
	"lanewheel/internal/filelock"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/fleet/coordinator/config"
)

// Config is what a steward goes by.
type Config = coordinatorconfig.Config

// replica is one steward's copy of the agreed state.
type replica struct {
	config    Config
	id        raft.ServerID // of its folder: a folder that was lost is another's life
	raft      *raft.Raft
	wal       *wal.WAL
	metaStore *metadb.BoltMetaDB
	dirLock   io.Closer // the folder's lock
	transport *raft.NetworkTransport

	mu    sync.Mutex // guards what follows
	state *coordination.State
}

// openReplica starts the copy in its folder. Connections of the other stewards come by stream.
func openReplica(config Config, streamLayer raft.StreamLayer) (*replica, error) {
	if err := os.MkdirAll(config.DataDir, 0o700); err != nil {
		return nil, err
	}
	r := &replica{config: config, state: coordination.NewState(config.Coordination), metaStore: &metadb.BoltMetaDB{}}
	var err error
	if r.dirLock, err = filelock.Acquire(filepath.Join(config.DataDir, "lock"), func() bool { return false }); err != nil {
		return nil, fmt.Errorf("%s: %w", config.DataDir, err)
	}
	opened := false
	defer func() {
		if !opened {
			r.close()
		}
	}()
	if r.id, err = loadServerID(config); err != nil {
		return nil, err
	}
	if r.wal, err = wal.Open(config.DataDir, wal.WithMetaStore(r.metaStore)); err != nil {
		return nil, fmt.Errorf("the log in %s: %w", config.DataDir, err)
	}
	logger := hclog.New(&hclog.LoggerOptions{Output: &raftLogWriter{}, Level: hclog.Warn, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(config.DataDir, 2, logger)
	if err != nil {
		return nil, err
	}
	r.transport = raft.NewNetworkTransportWithLogger(streamLayer, 3, 2*time.Second, logger)
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID, raftConfig.Logger = r.id, logger
	// A leader that is cut off knows it after one beat, the others after one more.
	raftConfig.HeartbeatTimeout, raftConfig.ElectionTimeout, raftConfig.LeaderLeaseTimeout, raftConfig.CommitTimeout = config.HeartbeatTimeout, config.HeartbeatTimeout, config.HeartbeatTimeout/2, config.HeartbeatTimeout/20
	raftConfig.SnapshotThreshold, raftConfig.TrailingLogs, raftConfig.SnapshotInterval = config.SnapshotThreshold, config.SnapshotThreshold/4, 10*time.Second
	raftConfig.LogLevel = "WARN"
	if config.Bootstrap {
		exists, err := raft.HasExistingState(r.wal, r.wal, snapshots)
		if err != nil {
			return nil, err
		}
		if exists { // Danger: a start by the same line as the first one would be a second fleet
			slog.Info("steward", "begin", "there is a state already")
		} else if err := raft.BootstrapCluster(raftConfig, r.wal, r.wal, snapshots, r.transport, raft.Configuration{Servers: []raft.Server{{ID: r.id, Address: raft.ServerAddress(config.AdvertiseAddr)}}}); err != nil {
			return nil, err
		}
	}
	if config.ForceNewCluster {
		slog.Warn("steward", "alone", string(r.id))
		if err := raft.RecoverCluster(raftConfig, (*stateMachine)(r), r.wal, r.wal, snapshots, r.transport, raft.Configuration{Servers: []raft.Server{{ID: r.id, Address: raft.ServerAddress(config.AdvertiseAddr)}}}); err != nil {
			return nil, fmt.Errorf("the state in %s: %w", config.DataDir, err)
		}
		r.state = coordination.NewState(config.Coordination) // it is read again
	}
	if r.raft, err = raft.NewRaft(raftConfig, (*stateMachine)(r), r.wal, r.wal, snapshots, r.transport); err != nil {
		return nil, fmt.Errorf("the state in %s can't be read: move the folder away, and the steward is taken in anew by the others: %w", config.DataDir, err)
	}
	opened = true
	return r, nil
}

// leaderTerm tells whether this steward leads, and by which term.
func (n *replica) leaderTerm() (term uint64, isLeader bool) {
	return n.raft.CurrentTerm(), n.raft.State() == raft.Leader
}

// leaderAddr is where the one that leads is reached, empty if nobody is known to.
func (n *replica) leaderAddr() string {
	addr, _ := n.raft.LeaderWithID()
	return string(addr)
}

// apply has the fleet agree on a command. It waits: it belongs beside every loop.
func (n *replica) apply(command coordination.Command) (coordination.Reply, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return coordination.Reply{}, err
	}
	future := n.raft.Apply(data, 2*n.config.HeartbeatTimeout)
	if err := future.Error(); err != nil {
		return coordination.Reply{}, fmt.Errorf("%w: %w", client.ErrNoQuorum, err)
	}
	return future.Response().(coordination.Reply), nil
}

// inspect has look see the state, which it must not keep.
func (n *replica) inspect(visit func(*coordination.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	visit(n.state)
}

// addVoter takes a steward in, in place of an earlier life of its name.
func (n *replica) addVoter(id raft.ServerID, addr string) error {
	config := n.raft.GetConfiguration()
	if err := config.Error(); err != nil {
		return err
	}
	for _, server := range config.Configuration().Servers {
		if server.ID == id && string(server.Address) == addr {
			return nil
		}
		if server.ID != id && coordinatorName(server.ID) == coordinatorName(id) {
			slog.Info("steward-replaced", "old", string(server.ID), "new", string(id))
			if err := n.raft.RemoveServer(server.ID, 0, 2*n.config.HeartbeatTimeout).Error(); err != nil {
				return err
			}
		}
	}
	slog.Info("steward-joins", "id", string(id), "at", addr)
	return n.raft.AddVoter(id, raft.ServerAddress(addr), 0, 5*n.config.HeartbeatTimeout).Error()
}

// removeVoter takes a steward out for good.
func (n *replica) removeVoter(name string) error {
	config := n.raft.GetConfiguration()
	if err := config.Error(); err != nil {
		return err
	}
	for _, server := range config.Configuration().Servers {
		if coordinatorName(server.ID) == name {
			return n.raft.RemoveServer(server.ID, 0, 2*n.config.HeartbeatTimeout).Error()
		}
	}
	return fmt.Errorf("no steward %q", name)
}

// isVoter tells whether this steward is one of those that agree.
func (n *replica) isVoter() bool {
	config := n.raft.GetConfiguration()
	if config.Error() != nil {
		return false
	}
	for _, server := range config.Configuration().Servers {
		if server.ID == n.id {
			return true
		}
	}
	return false
}

func (n *replica) close() {
	if n.raft != nil {
		_ = n.raft.Shutdown().Error()
	}
	if n.transport != nil {
		_ = n.transport.Close()
	}
	if n.wal != nil {
		_ = n.wal.Close()
	}
	_ = n.metaStore.Close() // the log leaves it open
	_ = n.dirLock.Close()
}
