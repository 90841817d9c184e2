// Package coordinator is one of the few processes that hold what the fleet has agreed: internal/coordination's state, kept alike by hashicorp/raft with a log and
// snapshots on disk. The one that leads has the fleet's members, the permits and the releases go on; any of them answers operators.
package coordinator

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
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

// loadServerID is the name with a part that is drawn once for a folder. Danger: a steward whose disk was wiped votes a second time in one election; its new
// folder is another server, which the leader takes in place of the lost one.
func loadServerID(config Config) (raft.ServerID, error) {
	path := filepath.Join(config.DataDir, "life")
	suffix, err := os.ReadFile(path)
	if err == nil && len(bytes.TrimSpace(suffix)) == 8 {
		return raft.ServerID(config.Name + "." + string(bytes.TrimSpace(suffix))), nil
	}
	if err == nil {
		return "", fmt.Errorf("%s is damaged: move the folder away, and the steward is taken in anew", path)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	if segments, _ := filepath.Glob(filepath.Join(config.DataDir, "*.wal")); len(segments) > 0 {
		return "", fmt.Errorf("%s is missing beside a log: move the folder away, and the steward is taken in anew", path)
	}
	var random [4]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	suffix = []byte(hex.EncodeToString(random[:]))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return "", err
	}
	defer file.Close()
	if _, err := file.Write(suffix); err != nil {
		return "", err
	}
	return raft.ServerID(config.Name + "." + string(suffix)), file.Sync()
}

func coordinatorName(id raft.ServerID) string {
	return string(id[:max(0, strings.LastIndexByte(string(id), '.'))])
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

// stateMachine is raft.FSM.
type stateMachine replica

// Apply is raft.FSM.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var command coordination.Command
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		slog.Error("bad-command", "index", entry.Index, "err", err)
		return coordination.Reply{Reason: "can't be read: " + err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	endedBefore := len(m.state.EndedPermits)
	wasHalted := m.state.Halt != nil
	reply := m.state.Apply(command)
	for _, permit := range m.state.EndedPermits[min(endedBefore, len(m.state.EndedPermits)):] {
		slog.Info("permit", "number", uint64(permit.ID), "member", string(permit.Member), "why", permit.Purpose, "ended", permit.Outcome)
	}
	if halt := m.state.Halt; (halt != nil) != wasHalted {
		slog.Info("halt", "on", halt != nil, "by", command.RequestedBy)
	}
	return reply
}

// Snapshot is raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := json.Marshal(m.state)
	return stateSnapshot(data), err
}

// Restore is raft.FSM. A snapshot that can't be read is an error, and the one before it is taken.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	state := coordination.NewState(m.config.Coordination)
	if err := json.NewDecoder(r).Decode(state); err != nil {
		return err
	}
	m.mu.Lock()
	m.state = state
	m.mu.Unlock()
	return nil
}

type stateSnapshot []byte

// Persist is raft.FSMSnapshot.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release is raft.FSMSnapshot.
func (s stateSnapshot) Release() {}

// raftLogWriter turns the library's lines into ours, four a second.
type raftLogWriter struct {
	mu          sync.Mutex
	windowStart time.Time
	written     int
	suppressed  int
}

var levelPrefix = regexp.MustCompile(`^\[[A-Z]+\]\s+`)

func (l *raftLogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.windowStart) > time.Second {
		if l.suppressed > 0 {
			slog.Info("raft", "more", l.suppressed)
		}
		l.windowStart, l.written, l.suppressed = time.Now(), 0, 0
	}
	if l.written++; l.written > 4 {
		l.suppressed++
		return len(line), nil
	}
	text := levelPrefix.ReplaceAllString(strings.TrimSpace(string(line)), "")
	slog.Info("raft", "text", text[:min(len(text), 300)])
	return len(line), nil
}
