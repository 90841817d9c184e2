package gossip

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"lanewheel/internal/membership"
)

// Snapshot is a process's view of the fleet in the form that its status socket shows.
type Snapshot struct {
	Name          string            `json:"name"`
	BootID        string            `json:"life"`
	Incarnation   uint64            `json:"incarnation"`
	Zone          string            `json:"zone"`
	Release       string            `json:"release"`
	LocalHealth   string            `json:"standing"`
	HeardFraction float64           `json:"reach"`
	ViewVersion   uint64            `json:"version"`
	ViewDigest    string            `json:"digest"` // of the view with the process itself included
	States        map[string]int    `json:"states"`
	Members       []MemberSnapshot  `json:"members"` // in a SnapshotBrief, only those that are not up
	Counters      map[string]uint64 `json:"counts"`
	CPUMillis     int64             `json:"cpu_ms"` // CPU time used by the process since its start
}

// MemberSnapshot is one member of a Snapshot.
type MemberSnapshot struct {
	Name                 string             `json:"name"`
	BootID               string             `json:"life"`
	Incarnation          uint64             `json:"incarnation"`
	State                string             `json:"state"`
	Reason               string             `json:"why"`
	InStateMillis        int64              `json:"for_ms"`   // time since it entered this state
	SinceHeartbeatMillis int64              `json:"spoke_ms"` // time since its last heartbeat
	GossipAddr           string             `json:"addr"`
	Roles                string             `json:"roles"`
	Zone                 string             `json:"zone"`
	Release              string             `json:"release"`
	Capacity             float64            `json:"capacity"`
	Metrics              map[string]float64 `json:"facts"`           // only those within their TTL
	StaleMetrics         []string           `json:"stale,omitempty"` // names of the metrics past their TTL
}

// SnapshotKind selects the members that a snapshot shows. A client of the status socket sends it as a line.
type SnapshotKind string

// The kinds of snapshots.
const (
	SnapshotFull  SnapshotKind = "view"  // all members
	SnapshotBrief SnapshotKind = "brief" // only members that are not up
)

func (a *Agent) snapshot(kind SnapshotKind) Snapshot {
	view := a.table.View()
	snapshot := Snapshot{
		Name:          string(view.Self.Name),
		BootID:        view.Self.BootID.String(),
		Incarnation:   uint64(view.Self.Incarnation),
		Zone:          view.Self.Zone,
		Release:       view.Self.Release,
		LocalHealth:   view.LocalHealth.String(),
		HeardFraction: view.HeardFraction,
		ViewVersion:   view.Version,
		ViewDigest:    fmt.Sprintf("%016x", view.Digest()^membership.Fingerprint(view.Self.ID())),
		States:        map[string]int{},
		Counters:      a.counters(),
		CPUMillis:     processCPUTime().Milliseconds(),
	}
	for member := range view.All() {
		snapshot.States[member.State.String()]++
		if kind == SnapshotBrief && member.State == membership.StateUp {
			continue
		}
		snapshot.Members = append(snapshot.Members, snapshotOf(member, a.Now()))
	}
	return snapshot
}

func snapshotOf(member membership.Member, now time.Duration) MemberSnapshot {
	snapshot := MemberSnapshot{
		Name:                 string(member.Name),
		BootID:               member.BootID.String(),
		Incarnation:          uint64(member.Incarnation),
		State:                member.State.String(),
		Reason:               member.Reason.String(),
		InStateMillis:        (now - member.StateSince).Milliseconds(),
		SinceHeartbeatMillis: (now - member.HeartbeatAt).Milliseconds(),
		GossipAddr:           member.GossipAddr,
		Roles:                member.Roles.String(),
		Zone:                 member.Zone,
		Release:              member.Release,
		Capacity:             member.Capacity,
		Metrics:              map[string]float64{},
	}
	for _, metric := range member.Metrics {
		if value, _, ok := member.Metric(metric.Name, now); ok {
			snapshot.Metrics[metric.Name] = value
		} else {
			snapshot.StaleMetrics = append(snapshot.StaleMetrics, metric.Name)
		}
	}
	slices.Sort(snapshot.StaleMetrics)
	return snapshot
}

// Timeouts of the status socket: to build a snapshot, to connect, and to read a whole snapshot.
const (
	snapshotTimeout     = time.Second
	snapshotDialTimeout = time.Second
	snapshotReadTimeout = 3 * time.Second
)

// maxSnapshotKindBytes limits the line that a client of the status socket sends, with its line feed.
const maxSnapshotKindBytes = 16

// serveStatus sends a snapshot to one client of the status socket. It is called on the socket's goroutine.
func (a *Agent) serveStatus(conn net.Conn) {
	line, err := bufio.NewReaderSize(conn, maxSnapshotKindBytes).ReadSlice('\n')
	if err != nil {
		return
	}
	kind := SnapshotKind(line[:len(line)-1])
	result := make(chan Snapshot, 1)
	a.Post(func() { result <- a.snapshot(kind) })
	select {
	case snapshot := <-result:
		_ = json.NewEncoder(conn).Encode(snapshot) // an error means that the client has disconnected
	case <-time.After(snapshotTimeout):
	}
}

// ReadSnapshot reads a snapshot from the status socket at path. It returns an error if the socket cannot be reached
// or the snapshot cannot be read in time.
func ReadSnapshot(path string, kind SnapshotKind) (snapshot Snapshot, err error) {
	dialer := net.Dialer{Timeout: snapshotDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "unix", path)
	if err != nil {
		return snapshot, err
	}
	defer func() { _ = conn.Close() }() // the snapshot has been read by then
	if err := conn.SetDeadline(time.Now().Add(snapshotReadTimeout)); err != nil {
		return snapshot, err
	}
	if _, err := fmt.Fprintln(conn, kind); err != nil {
		return snapshot, err
	}
	return snapshot, json.NewDecoder(conn).Decode(&snapshot)
}
