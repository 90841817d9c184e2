// Package steward is one of the few processes that hold what the fleet has agreed: internal/accord's state, kept alike by hashicorp/raft with a log and
// snapshots on disk. The one that leads has the fleet's members, the permits and the releases go on; any of them answers operators.
package steward

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

	"lanewheel/internal/accord"
	"lanewheel/internal/fleet/steward/ask"
	"lanewheel/internal/fleet/steward/told"
	"lanewheel/internal/lock"
)

// Told is what a steward goes by.
type Told = told.Told

// Node is one steward's copy of the agreed state.
type Node struct {
	told  Told
	id    raft.ServerID // of its folder: a folder that was lost is another's life
	raft  *raft.Raft
	log   *wal.WAL
	meta  *metadb.BoltMetaDB
	held  io.Closer // the folder's lock
	trans *raft.NetworkTransport

	mu    sync.Mutex // guards what follows
	state *accord.State
}

// open starts the copy in its folder. Connections of the other stewards come by stream.
func open(told Told, stream raft.StreamLayer) (*Node, error) {
	if err := os.MkdirAll(told.Folder, 0o700); err != nil {
		return nil, err
	}
	n := &Node{told: told, state: accord.NewState(told.Accord), meta: &metadb.BoltMetaDB{}}
	var err error
	if n.held, err = lock.Hold(filepath.Join(told.Folder, "lock"), func() bool { return false }); err != nil {
		return nil, fmt.Errorf("%s: %w", told.Folder, err)
	}
	whole := false
	defer func() {
		if !whole {
			n.close()
		}
	}()
	if n.id, err = identity(told); err != nil {
		return nil, err
	}
	if n.log, err = wal.Open(told.Folder, wal.WithMetaStore(n.meta)); err != nil {
		return nil, fmt.Errorf("the log in %s: %w", told.Folder, err)
	}
	logger := hclog.New(&hclog.LoggerOptions{Output: &lines{}, Level: hclog.Warn, DisableTime: true})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(told.Folder, 2, logger)
	if err != nil {
		return nil, err
	}
	n.trans = raft.NewNetworkTransportWithLogger(stream, 3, 2*time.Second, logger)
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = n.id, logger
	// A leader that is cut off knows it after one beat, the others after one more.
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = told.Beat, told.Beat, told.Beat/2, told.Beat/20
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = told.Snapshot, told.Snapshot/4, 10*time.Second
	c.LogLevel = "WARN"
	if told.Begin {
		known, err := raft.HasExistingState(n.log, n.log, snaps)
		if err != nil {
			return nil, err
		}
		if known { // Danger: a start by the same line as the first one would be a second fleet
			slog.Info("steward", "begin", "there is a state already")
		} else if err := raft.BootstrapCluster(c, n.log, n.log, snaps, n.trans, raft.Configuration{Servers: []raft.Server{{ID: n.id, Address: raft.ServerAddress(told.At)}}}); err != nil {
			return nil, err
		}
	}
	if told.Alone {
		slog.Warn("steward", "alone", string(n.id))
		if err := raft.RecoverCluster(c, (*machine)(n), n.log, n.log, snaps, n.trans, raft.Configuration{Servers: []raft.Server{{ID: n.id, Address: raft.ServerAddress(told.At)}}}); err != nil {
			return nil, fmt.Errorf("the state in %s: %w", told.Folder, err)
		}
		n.state = accord.NewState(told.Accord) // it is read again
	}
	if n.raft, err = raft.NewRaft(c, (*machine)(n), n.log, n.log, snaps, n.trans); err != nil {
		return nil, fmt.Errorf("the state in %s can't be read: move the folder away, and the steward is taken in anew by the others: %w", told.Folder, err)
	}
	whole = true
	return n, nil
}

// identity is the name with a part that is drawn once for a folder. Danger: a steward whose disk was wiped votes a second time in one election; its new
// folder is another server, which the leader takes in place of the lost one.
func identity(told Told) (raft.ServerID, error) {
	path := filepath.Join(told.Folder, "life")
	text, err := os.ReadFile(path)
	if err == nil && len(bytes.TrimSpace(text)) == 8 {
		return raft.ServerID(told.Name + "." + string(bytes.TrimSpace(text))), nil
	}
	if err == nil {
		return "", fmt.Errorf("%s is damaged: move the folder away, and the steward is taken in anew", path)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	if all, _ := filepath.Glob(filepath.Join(told.Folder, "*.wal")); len(all) > 0 {
		return "", fmt.Errorf("%s is missing beside a log: move the folder away, and the steward is taken in anew", path)
	}
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", err
	}
	text = []byte(hex.EncodeToString(b[:]))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return "", err
	}
	defer f.Close()
	if _, err := f.Write(text); err != nil {
		return "", err
	}
	return raft.ServerID(told.Name + "." + string(text)), f.Sync()
}

func nameOf(id raft.ServerID) string {
	return string(id[:max(0, strings.LastIndexByte(string(id), '.'))])
}

// leads tells whether this steward leads, and by which term.
func (n *Node) leads() (term uint64, yes bool) {
	return n.raft.CurrentTerm(), n.raft.State() == raft.Leader
}

// leader is where the one that leads is reached, empty if nobody is known to.
func (n *Node) leader() string {
	at, _ := n.raft.LeaderWithID()
	return string(at)
}

// apply has the fleet agree on a command. It waits: it belongs beside every loop.
func (n *Node) apply(c accord.Command) (accord.Reply, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return accord.Reply{}, err
	}
	f := n.raft.Apply(b, 2*n.told.Beat)
	if err := f.Error(); err != nil {
		return accord.Reply{}, fmt.Errorf("%w: %w", ask.ErrNobody, err)
	}
	return f.Response().(accord.Reply), nil
}

// read has look see the state, which it must not keep.
func (n *Node) read(look func(*accord.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	look(n.state)
}

// join takes a steward in, in place of an earlier life of its name.
func (n *Node) join(id raft.ServerID, at string) error {
	config := n.raft.GetConfiguration()
	if err := config.Error(); err != nil {
		return err
	}
	for _, s := range config.Configuration().Servers {
		if s.ID == id && string(s.Address) == at {
			return nil
		}
		if s.ID != id && nameOf(s.ID) == nameOf(id) {
			slog.Info("steward-replaced", "old", string(s.ID), "new", string(id))
			if err := n.raft.RemoveServer(s.ID, 0, 2*n.told.Beat).Error(); err != nil {
				return err
			}
		}
	}
	slog.Info("steward-joins", "id", string(id), "at", at)
	return n.raft.AddVoter(id, raft.ServerAddress(at), 0, 5*n.told.Beat).Error()
}

// leave takes a steward out for good.
func (n *Node) leave(name string) error {
	config := n.raft.GetConfiguration()
	if err := config.Error(); err != nil {
		return err
	}
	for _, s := range config.Configuration().Servers {
		if nameOf(s.ID) == name {
			return n.raft.RemoveServer(s.ID, 0, 2*n.told.Beat).Error()
		}
	}
	return fmt.Errorf("no steward %q", name)
}

// member tells whether this steward is one of those that agree.
func (n *Node) member() bool {
	config := n.raft.GetConfiguration()
	if config.Error() != nil {
		return false
	}
	for _, s := range config.Configuration().Servers {
		if s.ID == n.id {
			return true
		}
	}
	return false
}

func (n *Node) close() {
	if n.raft != nil {
		_ = n.raft.Shutdown().Error()
	}
	if n.trans != nil {
		_ = n.trans.Close()
	}
	if n.log != nil {
		_ = n.log.Close()
	}
	_ = n.meta.Close() // the log leaves it open
	_ = n.held.Close()
}

// machine is raft.FSM.
type machine Node

// Apply is raft.FSM.
func (m *machine) Apply(l *raft.Log) any {
	var c accord.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		slog.Error("bad-command", "index", l.Index, "err", err)
		return accord.Reply{Reason: "can't be read: " + err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.state.EndedPermits)
	halted := m.state.Halt != nil
	r := m.state.Apply(c)
	for _, p := range m.state.EndedPermits[min(before, len(m.state.EndedPermits)):] {
		slog.Info("permit", "number", uint64(p.ID), "member", string(p.Member), "why", p.Purpose, "ended", p.Outcome)
	}
	if h := m.state.Halt; (h != nil) != halted {
		slog.Info("halt", "on", h != nil, "by", c.RequestedBy)
	}
	return r
}

// Snapshot is raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := json.Marshal(m.state)
	return snapshot(b), err
}

// Restore is raft.FSM. A snapshot that can't be read is an error, and the one before it is taken.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	s := accord.NewState(m.told.Accord)
	if err := json.NewDecoder(r).Decode(s); err != nil {
		return err
	}
	m.mu.Lock()
	m.state = s
	m.mu.Unlock()
	return nil
}

type snapshot []byte

// Persist is raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release is raft.FSMSnapshot.
func (s snapshot) Release() {}

// lines turns the library's lines into ours, four a second.
type lines struct {
	mu    sync.Mutex
	since time.Time
	n     int
	more  int
}

var level = regexp.MustCompile(`^\[[A-Z]+\]\s+`)

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.since) > time.Second {
		if l.more > 0 {
			slog.Info("raft", "more", l.more)
		}
		l.since, l.n, l.more = time.Now(), 0, 0
	}
	if l.n++; l.n > 4 {
		l.more++
		return len(b), nil
	}
	text := level.ReplaceAllString(strings.TrimSpace(string(b)), "")
	slog.Info("raft", "text", text[:min(len(text), 300)])
	return len(b), nil
}
