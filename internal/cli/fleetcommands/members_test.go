package fleetcommands

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"lanewheel/internal/config"
	"lanewheel/internal/fleet/gossip"
)

var goldenSnapshot = gossip.Snapshot{
	Name:          "p000",
	BootID:        "000000000000001f",
	Incarnation:   12,
	Zone:          "north",
	Release:       "1",
	LocalHealth:   "whole",
	HeardFraction: 0.75,
	ViewVersion:   5,
	ViewDigest:    "00000000000000ff",
	States:        map[string]int{"up": 1},
	Counters:      map[string]uint64{"packets-out": 7},
	CPUMillis:     40,
	Members: []gossip.MemberSnapshot{{
		Name:                 "p001",
		BootID:               "0000000000000020",
		Incarnation:          13,
		State:                "suspect",
		Reason:               "silent",
		InStateMillis:        1500,
		SinceHeartbeatMillis: 2500,
		GossipAddr:           "127.0.0.1:7946",
		Roles:                "instance",
		Zone:                 "south",
		Release:              "2",
		Capacity:             2.5,
		Metrics:              map[string]float64{"held": 3},
		StaleMetrics:         []string{"signal"},
	}},
}

// newStatusSocket starts a status socket that answers each request with the same bytes. It sends the received requests
// to the returned channel.
func newStatusSocket(t *testing.T, answer []byte) (path string, requests chan string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "w")
	listener, err := new(net.ListenConfig).Listen(t.Context(), "unix", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = make(chan string, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n') // the test compares the received line
			requests <- line
			_, _ = conn.Write(answer)
			_ = conn.Close()
		}
	}()
	return path, requests
}

// TestGoldenMembers checks that a process's status is decoded from its socket as before and that both output formats of
// "members" are unchanged.
func TestGoldenMembers(t *testing.T) {
	text, err := json.Marshal(goldenSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "members-answer.json", append(text, '\n'))
	socket, requests := newStatusSocket(t, readGolden(t, "members-answer.json"))
	got, err := gossip.ReadSnapshot(socket, gossip.SnapshotFull)
	if err != nil || !reflect.DeepEqual(got, goldenSnapshot) {
		t.Fatalf("%v, the decoded snapshot differs from the golden one: %+v", err, got)
	}
	if line := <-requests; line != "view\n" {
		t.Fatalf("the request is %q", line)
	}
	var out bytes.Buffer
	if err := showMembers(config.Fleet{StatusSocket: socket}, nil, true, &out); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "members-printed.json", out.Bytes())
	out.Reset()
	if err := showMembers(config.Fleet{StatusSocket: socket}, []string{socket}, false, &out); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "members-printed.txt", out.Bytes())
}

// TestCompareViews checks that views are compared by the state and the incarnation of each member, and that each
// process counts as up in its own view.
func TestCompareViews(t *testing.T) {
	member := func(name, state string) gossip.MemberSnapshot {
		return gossip.MemberSnapshot{Name: name, Incarnation: 1, State: state}
	}
	first := gossip.Snapshot{Name: "a", Incarnation: 1, Members: []gossip.MemberSnapshot{
		member("b", "up"), member("c", "up"), member("d", "gone")}}
	second := gossip.Snapshot{Name: "b", Incarnation: 1, Members: []gossip.MemberSnapshot{
		member("a", "up"), member("c", "suspect")}}
	var printed textBuffer
	compareViews(&printed, first, second)
	want := `c: a holds "up 1", b holds "suspect 1"
d: a holds "gone 1", b holds ""
a and b differ on 2 of 4
`
	var out strings.Builder
	if err := printed.writeTo(&out); err != nil || out.String() != want {
		t.Errorf("%v, %s", err, out.String())
	}
}
