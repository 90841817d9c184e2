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
	snapshotInterval     = 10 * time.Second // between two looks at whether one is due
	maxPooledConnections = 3                // kept open to each peer
	peerTimeout          = 2 * time.Second  // of one call to a peer, snapshots aside
)

// errUnknownCoordinator is that no voter has the name.
var errUnknownCoordinator = errors.New("no coordinator has this name")

// replica is one coordinator's copy of the agreed state. Its methods may be called from any goroutine.
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

// openReplica opens the copy in its folder and starts raft. Connections of the other coordinators come by streamLayer.
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

// start opens what is in the folder and starts raft on it.
func (r *replica) start(streamLayer raft.StreamLayer) error {
	logger := hclog.New(&hclog.LoggerOptions{Output: &raftLogWriter{}, Level: hclog.Warn, DisableTime: true})
	dir := r.config.DataDir
	var err error
	if r.id, err = loadServerID(r.config); err != nil {
		return err
	}
	if r.wal, err = wal.Open(dir, wal.WithMetaStore(r.metaStore)); err != nil {
		return fmt.Errorf("the log in %s: %w", dir, err)
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
		return &DataDirError{Path: "the state in " + dir, Problem: "can't be read", Err: err}
	}
	return nil
}

// newRaftConfig derives raft's timing from the heartbeat timeout: a leader that is cut off knows it after one
// heartbeat timeout, the others after one more.
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

// singleVoterConfiguration is a configuration of this coordinator and no other.
func (r *replica) singleVoterConfiguration() raft.Configuration {
	return raft.Configuration{Servers: []raft.Server{{
		ID:      r.id,
		Address: raft.ServerAddress(r.config.AdvertiseAddr),
	}}}
}

// bootstrap begins a new fleet, unless there is a state: a start by the same command line as the first one must not
// make a second fleet.
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

// forceNewCluster makes this coordinator the only voter of the state that it has.
func (r *replica) forceNewCluster(raftConfig *raft.Config) error {
	slog.Warn("forcing new cluster", "id", string(r.id))
	err := raft.RecoverCluster(raftConfig, (*stateMachine)(r), r.wal, r.wal, r.snapshots, r.transport, r.singleVoterConfiguration())
	if err != nil {
		return fmt.Errorf("the state in %s: %w", r.config.DataDir, err)
	}
	r.state = coordination.NewState(r.config.Coordination) // raft reads it again
	return nil
}

// leaderTerm returns the term, and whether this coordinator leads in it.
func (r *replica) leaderTerm() (term uint64, isLeader bool) {
	return r.raft.CurrentTerm(), r.raft.State() == raft.Leader
}

// leaderAddr is where the leader is reached, empty if none is known.
func (r *replica) leaderAddr() string {
	addr, _ := r.raft.LeaderWithID()
	return string(addr)
}

// apply has a command agreed on and returns its reply. It blocks. Any error of raft is client.ErrNoQuorum too.
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

// inspect has visit see the state, which it must neither change nor keep.
func (r *replica) inspect(visit func(*coordination.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	visit(r.state)
}

// servers returns the coordinators of the latest configuration.
func (r *replica) servers() ([]raft.Server, error) {
	future := r.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}

// addVoter makes a coordinator a voter, in place of one of the same name with an earlier folder. It blocks.
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
			slog.Info("coordinator replaced", "old", string(server.ID), "new", string(id))
			if err := r.removeServer(server.ID); err != nil {
				return err
			}
		}
	}
	slog.Info("adding voter", "id", string(id), "addr", addr)
	return r.raft.AddVoter(id, raft.ServerAddress(addr), 0, 5*r.config.HeartbeatTimeout).Error()
}

// removeVoter takes a coordinator out for good, by its name. It blocks.
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

// isVoter tells whether this coordinator is one of the voters, as far as it knows.
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

// close ends whatever has been opened. Nothing can be done about an error: the log is read again at the next start.
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
	_ = r.metaStore.Close() // the log leaves it open
	_ = r.dirLock.Close()
}
