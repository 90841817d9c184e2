package coordinator

import (
	"encoding/json"
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"lanewheel/internal/coordination"
)

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
