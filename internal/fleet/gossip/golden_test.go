package gossip

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/membership"
)

// The golden files hold what a released process sends and shows. Processes of two versions speak to each other
// while a fleet is replaced, so these bytes stay as they are; -update is for a message that is added.
var update = flag.Bool("update", false, "write the golden files anew")

const (
	messagesFile = "messages.txt"
	snapshotFile = "snapshot.json"
)

// goldenMessage is one message as it is sent, and how it reads.
type goldenMessage struct {
	name    string
	encoded []byte
	decode  func(t *testing.T, stored []byte)
}

// goldenMessages lists every message with all fields set.
func goldenMessages() []goldenMessage {
	const age = 1500 * time.Millisecond
	self := membership.ID{Name: "blue", BootID: 0x0123456789abcdef}
	other := membership.ID{Name: "green", BootID: 0xfedcba9876543210}
	descriptor := membership.Descriptor{Name: "blue", Incarnation: 1_700_000_000_123, BootID: self.BootID,
		GossipAddr: "10.0.0.7:7946", ServiceAddr: "10.0.0.7:8000",
		Roles: membership.RoleServer | membership.RoleProxy | membership.RoleCoordinator | membership.RoleUpstream, Zone: "north",
		Release: "v7", Capacity: 2.5, WarmUp: 4500 * time.Millisecond}
	heartbeat := membership.Heartbeat{ID: self, Incarnation: 1_700_000_000_123, Sequence: 77, Ready: true,
		ReadyFor: 61_001 * time.Millisecond, Draining: true, ViewDigest: 0xdeadbeef01234567,
		Metrics: []membership.Metric{
			{Name: "health", Value: 0.75, TTL: 3 * time.Second},
			{Name: "held", Value: 12, TTL: 4 * time.Second},
		}}
	request := concurrencylease.Request{Holder: other, Sequence: 9, Held: concurrencylease.HeldLease{AllocatorBootID: 11, Sequence: 8, Limit: 5}, OpenCalls: 4, WantedCalls: 6}
	lease := concurrencylease.Lease{AllocatorBootID: 11, Sequence: 9, Limit: 5, Duration: 2 * time.Second, UnleasedCalls: 1,
		MaxCallDuration: 5 * time.Second}

	requestWire := wireLeaseRequest{To: self.String(), From: other.String(), ReplyAddr: "10.0.0.8:7946", Sequence: 9, AllocatorBootID: 11,
		HeldSequence: 8, HeldLimit: 5, OpenCalls: 4, WantedCalls: 6}
	stateParts := [][]byte{setAge(encodeHeartbeat(heartbeat), age), encode('f', wireFenceNotice{Name: "green", Incarnation: 1, BootID: 2})}
	leaseWire := wireLease{AllocatorBootID: 11, Sequence: 9, Limit: 5, DurationMillis: 2000, UnleasedCalls: 1, MaxCallMillis: 5000}
	return []goldenMessage{
		{"claim", encodeDescriptor(descriptor), func(t *testing.T, stored []byte) {
			back, err := decodeDescriptor(self.String(), descriptor.GossipAddr, stored)
			same(t, err, back, descriptor)
			wire, err := decoded[wireDescriptor](stored)
			same(t, err, wire, wireDescriptor{Incarnation: 1_700_000_000_123, Roles: 15, Zone: "north",
				Release: "v7", Capacity: 2.5, WarmUpMillis: 4500, ServiceAddr: "10.0.0.7:8000"})
		}},
		{"bulletin", setAge(encodeHeartbeat(heartbeat), age), func(t *testing.T, stored []byte) {
			body := head(t, stored, 'b', age)
			back, err := decodeHeartbeat(body)
			sameValues(t, err, back, heartbeat) // when a fact was taken is not sent: it is by the clock of who hears
			wire, err := decoded[wireHeartbeat](body)
			same(t, err, wire, wireHeartbeat{Name: "blue", BootID: 0x0123456789abcdef,
				Incarnation: 1_700_000_000_123, Sequence: 77, Ready: true, ReadyForMillis: 61_001, Draining: true,
				ViewDigest: 0xdeadbeef01234567, Metrics: []wireMetric{{Name: "health", Value: 0.75, TTLMillis: 3000},
					{Name: "held", Value: 12, TTLMillis: 4000}}})
		}},
		plain("fenced", 'f', age, wireFenceNotice{Name: "blue", Incarnation: 3, BootID: 5}),
		plain("query", 'q', age, wireQuery{Nonce: 42, To: self.String(), From: other.String(),
			ReplyAddr: "10.0.0.8:7946"}),
		plain("word", 'w', age, wireQueryReply{Nonce: 42, Load: -0.5, Finished: 300, WithinObjective: 299, TotalSeconds: 17.25}),
		plain("permit", 'p', age, wirePermitNotice{To: self.String(), From: other.String(), ReplyAddr: "10.0.0.8:7946",
			Number: 19, Begun: true}),
		plain("begin", 'i', age, wirePermitBegin{To: self.String(), From: other.String(), ReplyAddr: "10.0.0.8:7946",
			Incarnation: 1_700_000_000_123, Number: 19}),
		{"ask", encodeLeaseRequest(request, self, "10.0.0.8:7946"), func(t *testing.T, stored []byte) {
			body := head(t, stored, 'a', 0)
			back, addr, err := decodeLeaseRequest(body, self)
			same(t, err, back, request)
			same(t, nil, addr, "10.0.0.8:7946")
			wire, err := decoded[wireLeaseRequest](body)
			same(t, err, wire, requestWire)
			same(t, nil, encode('a', requestWire), stored)
		}},
		{"grant", encodeLease(lease), func(t *testing.T, stored []byte) {
			body := head(t, stored, 'g', 0)
			back, err := decodeLease(body)
			same(t, err, back, lease)
			wire, err := decoded[wireLease](body)
			same(t, err, wire, leaseWire)
			same(t, nil, encode('g', leaseWire), stored)
		}},
		{"state", encodeState(stateParts), func(t *testing.T, stored []byte) {
			var parts [][]byte
			err := decodeState(stored, 2, func(part []byte) { parts = append(parts, part) })
			same(t, err, parts, stateParts)
		}},
	}
}

// plain is a message whose wire struct is what the program uses.
func plain[T any](name string, kind byte, age time.Duration, value T) goldenMessage {
	return goldenMessage{name, setAge(encode(kind, value), age), func(t *testing.T, stored []byte) {
		t.Helper()
		back, err := decoded[T](head(t, stored, kind, age))
		same(t, err, back, value)
	}}
}

func decoded[T any](body []byte) (value T, err error) {
	err = decode(body, &value)
	return value, err
}

// head checks a stored message's head and gives what stands behind it.
func head(t *testing.T, stored []byte, wantKind byte, wantAge time.Duration) []byte {
	t.Helper()
	kind, age, body, err := splitHead(stored)
	if err != nil || kind != wantKind || age != wantAge {
		t.Fatalf("head %q %v, error %v; want %q %v", kind, age, err, wantKind, wantAge)
	}
	return body
}

// same fails unless got is want and every field of want is set.
func same[T any](t *testing.T, err error, got, want T) {
	t.Helper()
	sameValues(t, err, got, want)
	if unset := unsetFields(reflect.ValueOf(want), ""); len(unset) > 0 {
		t.Errorf("fields without a value: %v", unset)
	}
}

func sameValues[T any](t *testing.T, err error, got, want T) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v\nerror %v", got, want, err)
	}
}

// unsetFields names the fields of a value that are zero, each once.
func unsetFields(v reflect.Value, path string) (unset []string) {
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			unset = append(unset, unsetFields(v.Field(i),
				strings.TrimPrefix(path+"."+v.Type().Field(i).Name, "."))...)
		}
	case v.Kind() == reflect.Slice && v.Len() > 0 && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			unset = append(unset, unsetFields(v.Index(i), path)...)
		}
	case v.IsZero() || (v.Kind() == reflect.Map || v.Kind() == reflect.Slice) && v.Len() == 0:
		unset = append(unset, path)
	}
	slices.Sort(unset)
	return slices.Compact(unset)
}

// What is sent stays as the version before wrote it, and is read to the same values.
func TestGoldenMessages(t *testing.T) {
	all := goldenMessages()
	if *update {
		var text strings.Builder
		text.WriteString("# Gossip messages, all fields set: name, then the bytes in hex.\n")
		for _, m := range all {
			fmt.Fprintf(&text, "%s %x\n", m.name, m.encoded)
		}
		writeGolden(t, messagesFile, []byte(text.String()))
	}
	stored := map[string][]byte{}
	for line := range strings.Lines(string(readGolden(t, messagesFile))) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		b, err := hex.DecodeString(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		stored[name] = b
	}
	if len(stored) != len(all) {
		t.Errorf("%d messages are stored, %d are known", len(stored), len(all))
	}
	for _, m := range all {
		t.Run(m.name, func(t *testing.T) {
			if len(stored[m.name]) == 0 {
				t.Fatal("is not stored")
			}
			if !bytes.Equal(m.encoded, stored[m.name]) {
				t.Errorf("encodes to\n%x, stored is\n%x", m.encoded, stored[m.name])
			}
			m.decode(t, stored[m.name])
		})
	}
}

// libraryLines are lines of memberlist, one for each code that the status socket counts.
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

// goldenAgent is a part that was never started, with something in all that a snapshot shows.
func goldenAgent() *Agent {
	config := membership.DefaultConfig()
	table := membership.NewTable(membership.Descriptor{Name: "blue", Incarnation: 7, BootID: 0x0123456789abcdef,
		GossipAddr: "10.0.0.7:7946", Roles: membership.RoleServer, Zone: "north", Release: "v7", Capacity: 4}, config, 0)
	agent := &Agent{Loop: eventloop.New(1), table: table, transport: &transport{},
		libraryLog: &libraryLog{counts: map[string]uint64{}, onPredecessorCaller: func(string) {}}, transitions: map[string]uint64{}}
	agent.view.Store(table.View())
	green := membership.ID{Name: "green", BootID: 0xfedcba9876543210}
	table.HandleAlive(membership.Descriptor{Name: "green", Incarnation: 9, BootID: green.BootID, GossipAddr: "10.0.0.8:7946",
		ServiceAddr: "10.0.0.8:8000", Roles: membership.RoleServer | membership.RoleProxy,
		Zone: "south", Release: "v8", Capacity: 2.5, WarmUp: time.Minute}, time.Second)
	table.HandleHeartbeat(membership.Heartbeat{ID: green, Incarnation: 9, Sequence: 3, Ready: true, ReadyFor: time.Second,
		ViewDigest: 5, Metrics: []membership.Metric{
			{Name: "health", Value: 0.75, TTL: 4 * time.Second},
			{Name: "held", Value: 12, TTL: time.Second},
		}}, 0, 2*time.Second)
	agent.SetNow(3500 * time.Millisecond)
	agent.applyChanges()
	counters := []*atomic.Uint64{&agent.transport.packetsIn, &agent.transport.packetsOut, &agent.transport.bytesIn, &agent.transport.bytesOut, &agent.transport.suppressed,
		&agent.rateLimited, &agent.malformed, &agent.rejectedDescriptors}
	for i, counter := range counters {
		counter.Store(uint64(101 + i))
	}
	table.Stats = membership.Stats{Transitions: 201, RejectedFull: 202, StaleHeartbeats: 203, InvalidHeartbeats: 204, OutdatedIncarnations: 205,
		RefutedSuspicions: 206, Stalls: 207}
	for _, line := range libraryLines {
		_, _ = agent.libraryLog.Write([]byte(line))
	}
	return agent
}

// goldenSnapshot is what the stored snapshot reads as.
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

// The status socket shows the same names and values as the version before: `lanewheel members` and
// operators' scripts read it.
func TestGoldenSnapshot(t *testing.T) {
	shown := goldenAgent().snapshot(SnapshotFull)
	shown.CPUMillis = 1234
	text, err := json.MarshalIndent(shown, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	if *update {
		writeGolden(t, snapshotFile, text)
	}
	stored := readGolden(t, snapshotFile)
	if !bytes.Equal(text, stored) {
		t.Errorf("shows\n%s\nstored is\n%s", text, stored)
	}
	var back Snapshot
	d := json.NewDecoder(bytes.NewReader(stored))
	d.DisallowUnknownFields()
	same(t, d.Decode(&back), back, goldenSnapshot())
}

// What may be asked for on the status socket.
func TestGoldenSnapshotKinds(t *testing.T) {
	same(t, nil, []string{SnapshotFull, SnapshotBrief}, []string{"view", "brief"})
	p := goldenAgent()
	same(t, nil, slices.Sorted(maps.Keys(p.snapshot(SnapshotBrief).Counters)),
		slices.Sorted(maps.Keys(p.snapshot(SnapshotFull).Counters)))
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func writeGolden(t *testing.T, name string, b []byte) {
	t.Helper()
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join("testdata", name), b, 0o644); err != nil {
		t.Fatal(err)
	}
}
