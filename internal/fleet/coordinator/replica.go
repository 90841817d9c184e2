package coordinator

import (
	"encoding/json"
	"errors"
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
)

const (
	retainedSnapshots    = 2
	snapshotInterval     = 10 * time.Second // interval between checks whether a snapshot is due
	maxPooledConnections = 3                // idle connections kept open to each peer
	peerTimeout          = 2 * time.Second  // of one call to a peer, except the transfer of a snapshot
)

// errUnknownCoordinator is returned if no voter has the given name. Its text is sent to clients.
var errUnknownCoordinator = errors.New("no coordinator has this name")

// replica is one coordinator's copy of the replicated state. Its methods may be called from any goroutine.
type replica struct {
	config    Config
	id        raft.ServerID
	dirLock   io.Closer
	metaStore *metadb.BoltMetaDB
	wal       *wal.WAL
	snapshots raft.SnapshotStore
	transport *drainingTransport
	raft      *raft.Raft

	mu    sync.Mutex
	state *coordination.State // guarded by mu
}

// openReplica opens the replica in its data directory and starts raft. Raft communicates with the other coordinators
// through streamLayer.
func openReplica(config Config, streamLayer raft.StreamLayer) (*replica, error) {
	if err := os.MkdirAll(config.DataDir, 0o700); err != nil {
		return nil, err
	}
	dirLock, err := filelock.Acquire(filepath.Join(config.DataDir, "lock"), func() bool { return false })
	if err != nil {
		return nil, fmt.Errorf("%s: %w", config.DataDir, err)
	}
	r := &replica{
		config:    config,
		dirLock:   dirLock,
		metaStore: &metadb.BoltMetaDB{},
		state:     coordination.NewState(config.Coordination),
	}
	if err := r.start(streamLayer); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// start opens the contents of the data directory and starts raft on them.
func (r *replica) start(streamLayer raft.StreamLayer) error {
	logger := hclog.New(&hclog.LoggerOptions{Output: &raftLogWriter{}, Level: hclog.Warn, DisableTime: true})
	dir := r.config.DataDir
	var err error
	if r.id, err = loadServerID(r.config); err != nil {
		return err
	}
	if r.wal, err = wal.Open(dir, wal.WithMetaStore(r.metaStore)); err != nil {
		return fmt.Errorf("open the raft log in %s: %w", dir, err)
	}
	if r.snapshots, err = raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, logger); err != nil {
		return err
	}
	r.transport = &drainingTransport{
		NetworkTransport: raft.NewNetworkTransportWithLogger(streamLayer, maxPooledConnections, peerTimeout, logger),
	}
	raftConfig := newRaftConfig(r.config, r.id, logger)
	if r.config.Bootstrap {
		if err := r.bootstrap(raftConfig); err != nil {
			return err
		}
	}
	if r.config.ForceNewCluster {
		if err := r.forceNewCluster(raftConfig); err != nil {
			return err
		}
	}
	r.raft, err = raft.NewRaft(raftConfig, (*stateMachine)(r), r.wal, r.wal, r.snapshots, r.transport)
	if err != nil {
		return &DataDirError{Path: "the state in " + dir, Problem: "cannot be read", Err: err}
	}
	return nil
}

// newRaftConfig derives raft's timing from the heartbeat timeout. A leader that is cut off detects this within one
// heartbeat timeout, and the other coordinators within one more.
func newRaftConfig(config Config, id raft.ServerID, logger hclog.Logger) *raft.Config {
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID = id
	raftConfig.Logger = logger
	raftConfig.LogLevel = "WARN"
	raftConfig.HeartbeatTimeout = config.HeartbeatTimeout
	raftConfig.ElectionTimeout = config.HeartbeatTimeout
	raftConfig.LeaderLeaseTimeout = config.HeartbeatTimeout / 2
	raftConfig.CommitTimeout = config.HeartbeatTimeout / 20
	raftConfig.SnapshotThreshold = config.SnapshotThreshold
	raftConfig.TrailingLogs = config.SnapshotThreshold / 4
	raftConfig.SnapshotInterval = snapshotInterval
	return raftConfig
}

// singleVoterConfiguration returns a raft configuration with this coordinator as the only voter.
func (r *replica) singleVoterConfiguration() raft.Configuration {
	return raft.Configuration{Servers: []raft.Server{{
		ID:      r.id,
		Address: raft.ServerAddress(r.config.AdvertiseAddr),
	}}}
}

// bootstrap creates a new cluster with this coordinator as the only voter, unless there is existing state: a restart
// with the command line of the first start must not create a second cluster.
func (r *replica) bootstrap(raftConfig *raft.Config) error {
	exists, err := raft.HasExistingState(r.wal, r.wal, r.snapshots)
	if err != nil {
		return err
	}
	if exists {
		slog.Info("bootstrap skipped", "reason", "existing state")
		return nil
	}
	return raft.BootstrapCluster(raftConfig, r.wal, r.wal, r.snapshots, r.transport, r.singleVoterConfiguration())
}

// forceNewCluster makes this coordinator the only voter and keeps its existing state.
func (r *replica) forceNewCluster(raftConfig *raft.Config) error {
	slog.Warn("forcing new cluster", "id", string(r.id))
	err := raft.RecoverCluster(
		raftConfig, (*stateMachine)(r), r.wal, r.wal, r.snapshots, r.transport, r.singleVoterConfiguration())
	if err != nil {
		return fmt.Errorf("recover the state in %s: %w", r.config.DataDir, err)
	}
	// RecoverCluster has restored the state. NewRaft restores it again, into an empty state.
	r.state = coordination.NewState(r.config.Coordination)
	return nil
}

// leaderTerm returns the current term and whether this coordinator is its leader.
func (r *replica) leaderTerm() (term uint64, isLeader bool) {
	return r.raft.CurrentTerm(), r.raft.State() == raft.Leader
}

// leaderAddr returns the address of the leader, or an empty string if no leader is known.
func (r *replica) leaderAddr() string {
	addr, _ := r.raft.LeaderWithID()
	return string(addr)
}

// apply replicates a command, applies it and returns its reply. It blocks. If raft fails, the returned error wraps both
// raft's error and client.ErrNoQuorum.
func (r *replica) apply(command coordination.Command) (coordination.Reply, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return coordination.Reply{}, err
	}
	future := r.raft.Apply(data, 2*r.config.HeartbeatTimeout)
	if err := future.Error(); err != nil {
		return coordination.Reply{}, fmt.Errorf("%w: %w", client.ErrNoQuorum, err)
	}
	return future.Response().(coordination.Reply), nil
}

// inspect calls visit with the state while it holds the lock. visit must not modify or retain the state.
func (r *replica) inspect(visit func(*coordination.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	visit(r.state)
}

// servers returns the coordinators in raft's latest configuration.
func (r *replica) servers() ([]raft.Server, error) {
	future := r.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}

// addVoter adds a coordinator as a voter, unless it already is one with this address. It first removes the voters of
// the same name with another ID, because the coordinator's current data directory replaces theirs. It blocks.
func (r *replica) addVoter(id raft.ServerID, addr string) error {
	servers, err := r.servers()
	if err != nil {
		return err
	}
	for _, server := range servers {
		if server.ID == id && string(server.Address) == addr {
			return nil
		}
		if server.ID != id && coordinatorName(server.ID) == coordinatorName(id) {
			slog.Info("replacing coordinator", "old", string(server.ID), "new", string(id))
			if err := r.removeServer(server.ID); err != nil {
				return err
			}
		}
	}
	slog.Info("adding voter", "id", string(id), "addr", addr)
	return r.raft.AddVoter(id, raft.ServerAddress(addr), 0, 5*r.config.HeartbeatTimeout).Error()
}

// removeVoter permanently removes the coordinator with the given name. It blocks. It returns an error that wraps
// errUnknownCoordinator if there is no such voter.
func (r *replica) removeVoter(name string) error {
	servers, err := r.servers()
	if err != nil {
		return err
	}
	for _, server := range servers {
		if coordinatorName(server.ID) == name {
			return r.removeServer(server.ID)
		}
	}
	return fmt.Errorf("%w: %q", errUnknownCoordinator, name)
}

func (r *replica) removeServer(id raft.ServerID) error {
	return r.raft.RemoveServer(id, 0, 2*r.config.HeartbeatTimeout).Error()
}

// isVoter reports whether this coordinator is a voter in the latest configuration that it has.
func (r *replica) isVoter() bool {
	servers, err := r.servers()
	if err != nil {
		return false
	}
	for _, server := range servers {
		if server.ID == r.id {
			return true
		}
	}
	return false
}

// close closes everything that has been opened. Errors are ignored because they cannot be handled: the next start
// reads the log again.
func (r *replica) close() {
	if r.raft != nil {
		_ = r.raft.Shutdown().Error()
	}
	if r.transport != nil {
		r.transport.drain()
		_ = r.transport.Close()
	}
	if r.wal != nil {
		_ = r.wal.Close()
	}
	_ = r.metaStore.Close() // closing the log does not close it
	_ = r.dirLock.Close()
}
