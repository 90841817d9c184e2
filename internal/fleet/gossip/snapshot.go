package gossip

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"lanewheel/internal/membership"
)

// Snapshot is a process's view of the fleet, for whoever watches it.
type Snapshot struct {
	Name          string            `json:"name"`
	BootID        string            `json:"life"`
	Incarnation   uint64            `json:"incarnation"`
	Zone          string            `json:"zone"`
	Release       string            `json:"release"`
	LocalHealth   string            `json:"standing"`
	HeardFraction float64           `json:"reach"`
	ViewVersion   uint64            `json:"version"`
	ViewDigest    string            `json:"digest"` // of the lives that it holds to be here, itself among them
	States        map[string]int    `json:"states"`
	Members       []MemberSnapshot  `json:"members"` // brief: only those that are not up
	Counters      map[string]uint64 `json:"counts"`
	CPUMillis     int64             `json:"cpu_ms"` // of this process since its start
}

// MemberSnapshot is one member as the process believes it to be.
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
	Metrics              map[string]float64 `json:"facts"` // those that are still believed
	StaleMetrics         []string           `json:"stale,omitempty"`
}

// What may be asked for, a word on a line.
const (
	SnapshotFull  = "view"
	SnapshotBrief = "brief"
)

func (p *Agent) snapshot(kind string) Snapshot {
	view, now := p.table.View(), p.Now()
	snapshot := Snapshot{Name: string(view.Self.Name), BootID: view.Self.BootID.String(), Incarnation: uint64(view.Self.Incarnation), Zone: view.Self.Zone,
		Release: view.Self.Release, LocalHealth: view.LocalHealth.String(), HeardFraction: view.HeardFraction, ViewVersion: view.Version,
		ViewDigest: fmt.Sprintf("%016x", view.Digest()^membership.Fingerprint(view.Self.ID())), States: map[string]int{}, Counters: p.counters(), CPUMillis: processCPUTime().Milliseconds()}
	for member := range view.All() {
		snapshot.States[member.State.String()]++
		if kind == SnapshotBrief && member.State == membership.StateUp {
			continue
		}
		shown := MemberSnapshot{Name: string(member.Name), BootID: member.BootID.String(), Incarnation: uint64(member.Incarnation), State: member.State.String(),
			Reason: member.Reason.String(), InStateMillis: (now - member.StateSince).Milliseconds(), SinceHeartbeatMillis: (now - member.HeartbeatAt).Milliseconds(), GossipAddr: member.GossipAddr, Roles: member.Roles.String(),
			Zone: member.Zone, Release: member.Release, Capacity: member.Capacity, Metrics: map[string]float64{}}
		for _, metric := range member.Metrics {
			if value, _, ok := member.Metric(metric.Name, now); ok {
				shown.Metrics[metric.Name] = value
			} else {
				shown.StaleMetrics = append(shown.StaleMetrics, metric.Name)
			}
		}
		slices.Sort(shown.StaleMetrics)
		snapshot.Members = append(snapshot.Members, shown)
	}
	return snapshot
}

// serveStatus answers one who asks.
func (p *Agent) serveStatus(conn net.Conn) {
	line, err := bufio.NewReaderSize(conn, 16).ReadSlice('\n')
	if err != nil {
		return
	}
	kind := string(line[:len(line)-1])
	result := make(chan Snapshot, 1)
	p.Post(func() { result <- p.snapshot(kind) })
	select {
	case snapshot := <-result:
		_ = json.NewEncoder(conn).Encode(snapshot)
	case <-time.After(time.Second):
	}
}

// ReadSnapshot reads a snapshot from the socket of a running process; what is Whole or Brief.
func ReadSnapshot(path, kind string) (snapshot Snapshot, err error) {
	conn, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return snapshot, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintln(conn, kind); err != nil {
		return snapshot, err
	}
	return snapshot, json.NewDecoder(conn).Decode(&snapshot)
}
