package gossip

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"lanewheel/internal/members"
)

// Snapshot is a process's view of the fleet, for whoever watches it.
type Snapshot struct {
	Name        string            `json:"name"`
	Life        string            `json:"life"`
	Incarnation uint64            `json:"incarnation"`
	Zone        string            `json:"zone"`
	Release     string            `json:"release"`
	Standing    string            `json:"standing"`
	Reach       float64           `json:"reach"`
	Version     uint64            `json:"version"`
	Digest      string            `json:"digest"` // of the lives that it holds to be here, itself among them
	States      map[string]int    `json:"states"`
	Members     []SnapshotMember  `json:"members"` // brief: only those that are not up
	Counts      map[string]uint64 `json:"counts"`
	CPUms       int64             `json:"cpu_ms"` // of this process since its start
}

// SnapshotMember is one member as the process believes it to be.
type SnapshotMember struct {
	Name        string             `json:"name"`
	Life        string             `json:"life"`
	Incarnation uint64             `json:"incarnation"`
	State       string             `json:"state"`
	Why         string             `json:"why"`
	ForMS       int64              `json:"for_ms"` // in this state
	SpokeMS     int64              `json:"spoke_ms"`
	Addr        string             `json:"addr"`
	Roles       string             `json:"roles"`
	Zone        string             `json:"zone"`
	Release     string             `json:"release"`
	Capacity    float64            `json:"capacity"`
	Facts       map[string]float64 `json:"facts"` // those that are still believed
	Stale       []string           `json:"stale,omitempty"`
}

// What may be asked for, a word on a line.
const (
	Whole = "view"
	Brief = "brief"
)

func (p *Part) snapshot(what string) Snapshot {
	v, now := p.table.View(), p.Now()
	s := Snapshot{Name: string(v.Self.Name), Life: fmt.Sprintf("%016x", uint64(v.Self.BootID)), Incarnation: uint64(v.Self.Incarnation), Zone: v.Self.Zone,
		Release: v.Self.Release, Standing: v.LocalHealth.String(), Reach: v.HeardFraction, Version: v.Version,
		Digest: fmt.Sprintf("%016x", v.Digest()^members.Fingerprint(v.Self.ID())), States: map[string]int{}, Counts: p.counts(), CPUms: spent().Milliseconds()}
	for m := range v.All() {
		s.States[m.State.String()]++
		if what == Brief && m.State == members.StateUp {
			continue
		}
		one := SnapshotMember{Name: string(m.Name), Life: fmt.Sprintf("%016x", uint64(m.BootID)), Incarnation: uint64(m.Incarnation), State: m.State.String(),
			Why: string(m.Reason), ForMS: (now - m.StateSince).Milliseconds(), SpokeMS: (now - m.HeartbeatAt).Milliseconds(), Addr: m.GossipAddr, Roles: m.Roles.String(),
			Zone: m.Zone, Release: m.Release, Capacity: m.Capacity, Facts: map[string]float64{}}
		for _, f := range m.Metrics {
			if value, _, ok := m.Metric(f.Name, now); ok {
				one.Facts[f.Name] = value
			} else {
				one.Stale = append(one.Stale, f.Name)
			}
		}
		slices.Sort(one.Stale)
		s.Members = append(s.Members, one)
	}
	return s
}

// show answers one who asks.
func (p *Part) show(c net.Conn) {
	line, err := bufio.NewReaderSize(c, 16).ReadSlice('\n')
	if err != nil {
		return
	}
	what := string(line[:len(line)-1])
	came := make(chan Snapshot, 1)
	p.Post(func() { came <- p.snapshot(what) })
	select {
	case s := <-came:
		_ = json.NewEncoder(c).Encode(s)
	case <-time.After(time.Second):
	}
}

// Watch reads a snapshot from the socket of a running process; what is Whole or Brief.
func Watch(path, what string) (s Snapshot, err error) {
	c, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return s, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintln(c, what); err != nil {
		return s, err
	}
	return s, json.NewDecoder(c).Decode(&s)
}
