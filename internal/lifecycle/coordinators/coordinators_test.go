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

var update = flag.Bool("update", false, "rewrite the golden file; only for an intended change of the snapshot")

// The snapshot on a coordinator's status socket is one line of JSON, and ReadSnapshot reads every field of it.
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
		t.Errorf("golden file\n%s\nencoded\n%s", stored, text)
	}
	// The example sets every field.
	for _, x := range []any{want, want.Members[0]} {
		v := reflect.ValueOf(x)
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%T.%s is not set", x, v.Type().Field(i).Name)
			}
		}
	}
	socket := filepath.Join(t.TempDir(), "s")
	closed := make(chan struct{})
	defer close(closed)
	requests := make(chan string, 1)
	statussocket.Serve(socket, closed, func(c net.Conn) {
		b := make([]byte, 16)
		n, _ := c.Read(b)
		requests <- string(b[:n])
		_, _ = c.Write(stored)
	})
	got, err := gossip.ReadSnapshot(socket, gossip.SnapshotBrief)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v (error %v)", got, want, err)
	}
	if request := <-requests; request != "brief\n" || gossip.SnapshotFull != "view" {
		t.Errorf("request %q", request)
	}
}

// A leader reports that it is ready and that it leads, by the name of the metric that other members read.
func TestReportGolden(t *testing.T) {
	node := fake.Must(coordinator.New(coordinator.Config{
		Name:              "s0",
		ListenAddr:        "127.0.0.1:0",
		AdvertiseAddr:     "127.0.0.1:7373",
		DataDir:           t.TempDir(),
		Bootstrap:         true,
		HeartbeatTimeout:  300 * time.Millisecond,
		ClusterKeys:       []membership.Key{membership.Key("0123456789abcdef0123456789abcdef")},
		Coordination:      coordination.DefaultConfig(),
		Canary:            canary.DefaultConfig(),
		AnalysisWindow:    time.Second,
		SnapshotThreshold: 64,
	}))
	process := &fleetProcess{coordinator: node}
	self := membership.Descriptor{Name: "s0", Incarnation: 1, BootID: 1, Roles: membership.RoleCoordinator}
	done := make(chan struct{})
	go func() {
		node.Serve(emptyFleet{membership.NewTable(self, membership.DefaultConfig(), 0).View()})
		close(done)
	}()
	fake.WaitFor("leadership", func() bool { return node.IsLeader() && node.Ready() })
	process.Status(func(status gossip.ProcessStatus) {
		want := gossip.ProcessStatus{Ready: true, Metrics: []membership.Metric{{Name: "leads", Value: 1}}}
		if !reflect.DeepEqual(status, want) {
			t.Errorf("%+v, want %+v", status, want)
		}
	})
	node.Shutdown()
	<-done
}

// emptyFleet is a fleet without other members.
type emptyFleet struct{ view *membership.View }

func (f emptyFleet) View() *membership.View                                             { return f.view }
func (f emptyFleet) NotifyPermit(membership.Name, membership.Incarnation, uint64, bool) {}
func (f emptyFleet) QueryStats(membership.Name, func(gossip.RequestStats))              {}
