package coordinator

import (
	"encoding/json"
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"lanewheel/internal/coordination"
)

// stateMachine implements raft.FSM on a replica.
type stateMachine replica

// Apply implements raft.FSM. It applies a log entry and returns a coordination.Reply.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var command coordination.Command
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		slog.Error("raft log entry cannot be decoded", "index", entry.Index, "err", err)
		return coordination.Reply{Reason: "can't be read: " + err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	endedBefore := len(m.state.EndedPermits)
	wasHalted := m.state.Halt != nil
	reply := m.state.Apply(command)
	for _, permit := range m.state.EndedPermits[min(endedBefore, len(m.state.EndedPermits)):] {
		slog.Info("permit ended", "permit", uint64(permit.ID), "member", string(permit.Member),
			"purpose", string(permit.Purpose), "outcome", permit.Outcome)
	}
	switch isHalted := m.state.Halt != nil; {
	case isHalted && !wasHalted:
		slog.Info("halted", "by", command.RequestedBy)
	case !isHalted && wasHalted:
		slog.Info("resumed", "by", command.RequestedBy)
	}
	return reply
}

// Snapshot implements raft.FSM. It encodes the whole state.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := json.Marshal(m.state)
	return stateSnapshot(data), err
}

// Restore implements raft.FSM. It returns an error if the snapshot cannot be decoded; raft then tries the previous one.
func (m *stateMachine) Restore(snapshot io.ReadCloser) error {
	defer func() { _ = snapshot.Close() }() // a read-only file
	state := coordination.NewState(m.config.Coordination)
	if err := json.NewDecoder(snapshot).Decode(state); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	return nil
}

// stateSnapshot is the whole state as JSON. It implements raft.FSMSnapshot.
type stateSnapshot []byte

// Persist implements raft.FSMSnapshot.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel() // the write error takes precedence
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot. There is nothing to release.
func (s stateSnapshot) Release() {}
