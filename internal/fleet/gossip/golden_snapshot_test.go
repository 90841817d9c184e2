package gossip

import (
	"bytes"
	"encoding/json"
	"maps"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"lanewheel/internal/eventloop"
	"lanewheel/internal/goldentest"
	"lanewheel/internal/membership"
)

// libraryLines are lines of memberlist's log, with at least one for each counter of the status socket.
var libraryLines = []string{
	"[ERR] memberlist: Decrypt packet failed: No installed keys could decrypt the message",
	"[ERR] memberlist: failed to receive: Remote state is not encrypted",
	"[WARN] memberlist: Label mismatch", "[ERR] memberlist: Push/Pull with green failed",
	"[ERR] memberlist: msg type (9) not supported", "[ERR] memberlist: Failed to decode ping request",
	"[WARN] memberlist: Got ping for unexpected node 'blue@0000000000000001' from=10.0.0.8:7946",
	"[INFO] memberlist: Suspect green has failed", "[INFO] memberlist: Marking green as failed",
	"[WARN] memberlist: Refuting a suspect message", "[ERR] memberlist: Failed to send gossip",
	"[INFO] memberlist: anything else",
}

// goldenAgent returns an agent that was never started, with a value in every field that a snapshot shows.
func goldenAgent() *Agent {
	config := membership.DefaultConfig()
	table := membership.NewTable(membership.Descriptor{Name: "blue", Incarnation: 7, BootID: 0x0123456789abcdef,
		GossipAddr: "10.0.0.7:7946", Roles: membership.RoleServer, Zone: "north", Release: "v7", Capacity: 4}, config, 0)
	agent := &Agent{
		Loop:        eventloop.New(1),
		table:       table,
		transport:   &transport{},
		libraryLog:  newLibraryLog(func(string) {}),
		transitions: map[string]uint64{},
	}
	agent.view.Store(table.View())
	green := membership.ID{Name: "green", BootID: 0xfedcba9876543210}
	table.HandleAlive(membership.Descriptor{Name: "green", Incarnation: 9, BootID: green.BootID,
		GossipAddr:  "10.0.0.8:7946",
		ServiceAddr: "10.0.0.8:8000", Roles: membership.RoleServer | membership.RoleProxy,
		Zone: "south", Release: "v8", Capacity: 2.5, WarmUp: time.Minute}, time.Second)
	table.HandleHeartbeat(membership.Heartbeat{ID: green, Incarnation: 9, Sequence: 3, Ready: true, ReadyFor: time.Second,
		ViewDigest: 5, Metrics: []membership.Metric{
			{Name: "health", Value: 0.75, TTL: 4 * time.Second},
			{Name: "held", Value: 12, TTL: time.Second},
		}}, 0, 2*time.Second)
	agent.SetNow(3500 * time.Millisecond)
	agent.applyChanges()
	shared := agent.transport
	counters := []*atomic.Uint64{&shared.packetsIn, &shared.packetsOut, &shared.bytesIn, &shared.bytesOut,
		&shared.suppressed, &agent.rateLimited, &agent.malformed, &agent.rejectedDescriptors}
	for i, counter := range counters {
		counter.Store(uint64(101 + i))
	}
	table.Stats = membership.Stats{Transitions: 201, RejectedFull: 202, StaleHeartbeats: 203, InvalidHeartbeats: 204,
		OutdatedIncarnations: 205, RefutedSuspicions: 206, Stalls: 207}
	for _, line := range libraryLines {
		_, _ = agent.libraryLog.Write([]byte(line))
	}
	return agent
}

// goldenSnapshot returns the expected result of decoding the stored snapshot.
func goldenSnapshot() Snapshot {
	return Snapshot{Name: "blue", BootID: "0123456789abcdef", Incarnation: 7, Zone: "north",
		Release: "v7", LocalHealth: "young", HeardFraction: 1, ViewVersion: 3, ViewDigest: "3f221ae6bba73235",
		States: map[string]int{"warming": 1}, CPUMillis: 1234,
		Members: []MemberSnapshot{{Name: "green", BootID: "fedcba9876543210", Incarnation: 9,
			State: "warming", Reason: "ready", InStateMillis: 1500, SinceHeartbeatMillis: 1500, GossipAddr: "10.0.0.8:7946",
			Roles: "instance+relay", Zone: "south", Release: "v8", Capacity: 2.5,
			Metrics: map[string]float64{"health": 0.75}, StaleMetrics: []string{"held"}}},
		Counters: map[string]uint64{"packets-in": 101, "packets-out": 102, "bytes-in": 103,
			"bytes-out": 104, "kept-back": 105, "dropped": 106, "bad": 107, "refused": 108 + 202,
			"changes": 201, "stale": 203, "oversized": 204, "fenced": 205, "refuted": 206,
			"stood-still": 207, "joining-joining": 1, "joining-warming": 1,
			"gossip-not-our-key": 2, "gossip-not-our-cluster": 1, "gossip-state-not-exchanged": 1,
			"gossip-bad-message": 2, "gossip-old-life": 1, "gossip-suspects": 1,
			"gossip-gives-up": 1, "gossip-refutes": 1, "gossip-not-sent": 1, "gossip-other": 1}}
}

// The status socket shows the same names and values as the previous version, because `lanewheel members` and
// operators' scripts read them.
func TestGoldenSnapshot(t *testing.T) {
	shown := goldenAgent().snapshot(SnapshotFull)
	shown.CPUMillis = 1234
	text, err := json.MarshalIndent(shown, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	goldentest.CheckText(t, filepath.Join("testdata", snapshotFile), text)
	stored := readGolden(t, snapshotFile)
	var got Snapshot
	d := json.NewDecoder(bytes.NewReader(stored))
	d.DisallowUnknownFields()
	checkEqualAllSet(t, d.Decode(&got), got, goldenSnapshot())
}

// The names of the snapshot kinds, which clients of the status socket send, stay the same, and each kind shows all
// counters.
func TestGoldenSnapshotKinds(t *testing.T) {
	checkEqualAllSet(t, nil, []SnapshotKind{SnapshotFull, SnapshotBrief}, []SnapshotKind{"view", "brief"})
	agent := goldenAgent()
	checkEqualAllSet(t, nil, slices.Sorted(maps.Keys(agent.snapshot(SnapshotBrief).Counters)),
		slices.Sorted(maps.Keys(agent.snapshot(SnapshotFull).Counters)))
}
