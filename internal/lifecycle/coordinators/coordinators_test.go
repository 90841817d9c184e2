package coordinators

import (
	"bytes"
	"encoding/json"
	"flag"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
	"lanewheel/internal/statussocket"
)

var update = flag.Bool("update", false, "write the golden file anew; only where what is shown is meant to change")

// What a steward's status socket shows, a line of JSON, and what is read from it.
func TestStatusGolden(t *testing.T) {
	want := gossip.Snapshot{
		Name: "s0", BootID: "00000000000000ff", Incarnation: 1_700_000_000_001, Zone: "a", Release: "1",
		LocalHealth: "sound", HeardFraction: 0.75, ViewVersion: 7, ViewDigest: "0123456789abcdef",
		States: map[string]int{"joining": 1, "warming": 2, "up": 3, "suspect": 4, "leaving": 5, "gone": 6,
			"fenced": 7},
		Members: []gossip.MemberSnapshot{{Name: "s1", BootID: "00000000000000fe", Incarnation: 1_700_000_000_002,
			State: "suspect", Reason: "unreached", InStateMillis: 1500, SinceHeartbeatMillis: 2500,
			GossipAddr: "127.0.0.1:7401", Roles: "steward", Zone: "b", Release: "2", Capacity: 1.5,
			Metrics: map[string]float64{"leads": 1}, StaleMetrics: []string{"load"}}},
		Counters: map[string]uint64{"changes": 9}, CPUMillis: 12,
	}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	path := filepath.Join("testdata", "status.json")
	if *update {
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored := fake.Must(os.ReadFile(path))
	if !bytes.Equal(text, stored) {
		t.Errorf("shown as\n%s\nnow written as\n%s", stored, text)
	}
	// No field is left out.
	for _, x := range []any{want, want.Members[0]} {
		v := reflect.ValueOf(x)
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%T.%s is not shown", x, v.Type().Field(i).Name)
			}
		}
	}
	socket := filepath.Join(t.TempDir(), "s")
	closed := make(chan struct{})
	defer close(closed)
	asked := make(chan string, 1)
	statussocket.Serve(socket, closed, func(c net.Conn) {
		b := make([]byte, 16)
		n, _ := c.Read(b)
		asked <- string(b[:n])
		_, _ = c.Write(stored)
	})
	got, err := gossip.ReadSnapshot(socket, gossip.SnapshotBrief)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nwanted\n%+v (%v)", got, want, err)
	}
	if q := <-asked; q != "brief\n" || gossip.SnapshotFull != "view" {
		t.Errorf("asked for %q", q)
	}
}

// What a steward says of itself in the fleet, by the name that others read.
func TestReportGolden(t *testing.T) {
	s := fake.Must(coordinator.New(coordinator.Config{Name: "s0", ListenAddr: "127.0.0.1:0", AdvertiseAddr: "127.0.0.1:7373",
		DataDir: t.TempDir(), Bootstrap: true, HeartbeatTimeout: 300 * time.Millisecond,
		ClusterKeys: []membership.Key{membership.Key("0123456789abcdef0123456789abcdef")}, Coordination: coordination.DefaultConfig(),
		Canary: canary.DefaultConfig(), AnalysisWindow: time.Second, SnapshotThreshold: 64}))
	p := &fleetAdapter{coordinator: s}
	done := make(chan struct{})
	go func() {
		s.Serve(alone{membership.NewTable(membership.Descriptor{Name: "s0", Incarnation: 1, BootID: 1, Roles: membership.RoleCoordinator},
			membership.DefaultConfig(), 0).View()})
		close(done)
	}()
	fake.WaitFor("it leads", func() bool { return s.IsLeader() && s.Ready() })
	p.Status(func(r gossip.ProcessStatus) {
		want := gossip.ProcessStatus{Ready: true, Metrics: []membership.Metric{{Name: "leads", Value: 1}}}
		if !reflect.DeepEqual(r, want) {
			t.Errorf("%+v, wanted %+v", r, want)
		}
	})
	s.Shutdown()
	<-done
}

// alone is a fleet of nobody else.
type alone struct{ view *membership.View }

func (a alone) View() *membership.View                                             { return a.view }
func (a alone) NotifyPermit(membership.Name, membership.Incarnation, uint64, bool) {}
func (a alone) QueryStats(membership.Name, func(gossip.RequestStats))              {}
