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

// Snapshot is a process's view of the fleet, as its status socket shows it.
type Snapshot struct {
	Name          string            `json:"name"`
	BootID        string            `json:"life"`
	Incarnation   uint64            `json:"incarnation"`
	Zone          string            `json:"zone"`
	Release       string            `json:"release"`
	LocalHealth   string            `json:"standing"`
	HeardFraction float64           `json:"reach"`
	ViewVersion   uint64            `json:"version"`
	ViewDigest    string            `json:"digest"` // of its view with itself in it
	States        map[string]int    `json:"states"`
	Members       []MemberSnapshot  `json:"members"` // SnapshotBrief: only those that are not up
	Counters      map[string]uint64 `json:"counts"`
	CPUMillis     int64             `json:"cpu_ms"` // used by the process since its start
}

// MemberSnapshot is one member of a Snapshot.
type MemberSnapshot struct {
	Name                 string             `json:"name"`
	BootID               string             `json:"life"`
	Incarnation          uint64             `json:"incarnation"`
	State                string             `json:"state"`
	Reason               string             `json:"why"`
	InStateMillis        int64              `json:"for_ms"` // in this state
	SinceHeartbeatMillis int64              `json:"spoke_ms"`
	GossipAddr           string             `json:"addr"`
	Roles                string             `json:"roles"`
	Zone                 string             `json:"zone"`
	Release              string             `json:"release"`
	Capacity             float64            `json:"capacity"`
	Metrics              map[string]float64 `json:"facts"` // those within their TTL
	StaleMetrics         []string           `json:"stale,omitempty"`
}

// SnapshotKind is how much a snapshot shows. It is what a client of the status socket sends, as a line.
type SnapshotKind string

// The kinds of snapshots.
const (
	SnapshotFull  SnapshotKind = "view"  // all members
	SnapshotBrief SnapshotKind = "brief" // only those that are not up
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

// The timeouts of the status socket: to build a snapshot, to connect, and to read it as a whole.
const (
	snapshotTimeout     = time.Second
	snapshotDialTimeout = time.Second
	snapshotReadTimeout = 3 * time.Second
)

// maxSnapshotKindBytes bounds the line that a client of the status socket sends.
const maxSnapshotKindBytes = 16

// serveStatus answers one client of the status socket, on the socket's goroutine.
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
		_ = json.NewEncoder(conn).Encode(snapshot) // a client that is gone gets none
	case <-time.After(snapshotTimeout):
	}
}

// ReadSnapshot reads a snapshot from the status socket of a running process.
func ReadSnapshot(path string, kind SnapshotKind) (snapshot Snapshot, err error) {
	dialer := net.Dialer{Timeout: snapshotDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "unix", path)
	if err != nil {
		return snapshot, err
	}
	defer func() { _ = conn.Close() }() // all that counts has been read by then
	if err := conn.SetDeadline(time.Now().Add(snapshotReadTimeout)); err != nil {
		return snapshot, err
	}
	if _, err := fmt.Fprintln(conn, kind); err != nil {
		return snapshot, err
	}
	return snapshot, json.NewDecoder(conn).Decode(&snapshot)
}
