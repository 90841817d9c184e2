package coordinator

import (
	"encoding/json"
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"lanewheel/internal/coordination"
)

// stateMachine is a replica as raft drives it: raft.FSM.
type stateMachine replica

// Apply implements raft.FSM: it applies an entry of the log and returns a coordination.Reply.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var command coordination.Command
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		slog.Error("undecodable log entry", "index", entry.Index, "err", err)
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

// Snapshot implements raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := json.Marshal(m.state)
	return stateSnapshot(data), err
}

// Restore implements raft.FSM. A snapshot that can't be read is an error, and raft takes the one before it.
func (m *stateMachine) Restore(snapshot io.ReadCloser) error {
	defer func() { _ = snapshot.Close() }() // it is only read
	state := coordination.NewState(m.config.Coordination)
	if err := json.NewDecoder(snapshot).Decode(state); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	return nil
}

// stateSnapshot is the whole state as JSON: raft.FSMSnapshot.
type stateSnapshot []byte

// Persist implements raft.FSMSnapshot.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel() // the write's error is what matters
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (s stateSnapshot) Release() {}
