package gossip

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/goldentest"
	"lanewheel/internal/membership"
)

// The golden files contain the messages that a released process sends and the snapshot that it shows. Processes of
// two versions communicate while the processes of a fleet are replaced, so these bytes must not change.
const (
	messagesFile = "messages.txt"
	snapshotFile = "snapshot.json"
)

// goldenMessage is an encoded message and a function that decodes and checks the stored one.
type goldenMessage struct {
	name    string
	encoded []byte
	decode  func(t *testing.T, stored []byte)
}

// goldenAge is the age of all golden messages whose age is not 0.
const goldenAge = 1500 * time.Millisecond

var (
	goldenSelf  = membership.ID{Name: "blue", BootID: 0x0123456789abcdef}
	goldenOther = membership.ID{Name: "green", BootID: 0xfedcba9876543210}
)

// goldenMessages returns one message of each type, with all fields set.
func goldenMessages() []goldenMessage {
	self, other := goldenSelf.String(), goldenOther.String()
	return []goldenMessage{
		goldenDescriptor(),
		goldenHeartbeat(),
		goldenWireMessage("fenced", kindFenceNotice, wireFenceNotice{Name: "blue", Incarnation: 3, BootID: 5}),
		goldenWireMessage("query", kindQuery, wireQuery{Nonce: 42, To: self, From: other, ReplyAddr: "10.0.0.8:7946"}),
		goldenWireMessage("word", kindQueryReply, wireQueryReply{
			Nonce: 42, Load: -0.5, Finished: 300, WithinObjective: 299, TotalSeconds: 17.25,
		}),
		goldenWireMessage("permit", kindPermitNotice, wirePermitNotice{
			To: self, From: other, ReplyAddr: "10.0.0.8:7946", Number: 19, Begun: true,
		}),
		goldenWireMessage("begin", kindPermitBegin, wirePermitBegin{
			To: self, From: other, ReplyAddr: "10.0.0.8:7946", Incarnation: 1_700_000_000_123, Number: 19,
		}),
		goldenLeaseRequest(),
		goldenLease(),
		goldenState(),
	}
}

func goldenDescriptor() goldenMessage {
	descriptor := membership.Descriptor{Name: "blue", Incarnation: 1_700_000_000_123, BootID: goldenSelf.BootID,
		GossipAddr: "10.0.0.7:7946", ServiceAddr: "10.0.0.7:8000",
		Roles: membership.RoleServer | membership.RoleProxy | membership.RoleCoordinator | membership.RoleUpstream,
		Zone:  "north", Release: "v7", Capacity: 2.5, WarmUp: 4500 * time.Millisecond}
	return goldenMessage{"claim", encodeDescriptor(descriptor), func(t *testing.T, stored []byte) {
		t.Helper()
		got, err := decodeDescriptor(goldenSelf.String(), descriptor.GossipAddr, stored)
		checkEqualAllSet(t, err, got, descriptor)
		wire, err := decodeAs[wireDescriptor](stored)
		checkEqualAllSet(t, err, wire, wireDescriptor{Incarnation: 1_700_000_000_123, Roles: 15, Zone: "north",
			Release: "v7", Capacity: 2.5, WarmUpMillis: 4500, ServiceAddr: "10.0.0.7:8000"})
	}}
}

func goldenHeartbeatValue() membership.Heartbeat {
	return membership.Heartbeat{ID: goldenSelf, Incarnation: 1_700_000_000_123, Sequence: 77, Ready: true,
		ReadyFor: 61_001 * time.Millisecond, Draining: true, ViewDigest: 0xdeadbeef01234567,
		Metrics: []membership.Metric{
			{Name: "health", Value: 0.75, TTL: 3 * time.Second},
			{Name: "held", Value: 12, TTL: 4 * time.Second},
		}}
}

func goldenHeartbeat() goldenMessage {
	heartbeat := goldenHeartbeatValue()
	encoded := setAge(encodeHeartbeat(heartbeat), goldenAge)
	return goldenMessage{"bulletin", encoded, func(t *testing.T, stored []byte) {
		t.Helper()
		body := checkHeader(t, stored, kindHeartbeat, goldenAge)
		got, err := decodeHeartbeat(body)
		checkEqual(t, err, got, heartbeat) // the times of metrics refer to the receiver's clock and are not sent
		wire, err := decodeAs[wireHeartbeat](body)
		checkEqualAllSet(t, err, wire, wireHeartbeat{Name: "blue", BootID: 0x0123456789abcdef,
			Incarnation: 1_700_000_000_123, Sequence: 77, Ready: true, ReadyForMillis: 61_001, Draining: true,
			ViewDigest: 0xdeadbeef01234567, Metrics: []wireMetric{{Name: "health", Value: 0.75, TTLMillis: 3000},
				{Name: "held", Value: 12, TTLMillis: 4000}}})
	}}
}

func goldenLeaseRequest() goldenMessage {
	request := concurrencylease.Request{Holder: goldenOther, Sequence: 9,
		Held: concurrencylease.HeldLease{AllocatorBootID: 11, Sequence: 8, Limit: 5}, OpenCalls: 4, WantedCalls: 6}
	wantWire := wireLeaseRequest{To: goldenSelf.String(), From: goldenOther.String(), ReplyAddr: "10.0.0.8:7946",
		Sequence: 9, AllocatorBootID: 11, HeldSequence: 8, HeldLimit: 5, OpenCalls: 4, WantedCalls: 6}
	encoded := encodeLeaseRequest(request, goldenSelf, "10.0.0.8:7946")
	return goldenMessage{"ask", encoded, func(t *testing.T, stored []byte) {
		t.Helper()
		body := checkHeader(t, stored, kindLeaseRequest, 0)
		got, addr, err := decodeLeaseRequest(body, goldenSelf)
		checkEqualAllSet(t, err, got, request)
		checkEqualAllSet(t, nil, addr, "10.0.0.8:7946")
		wire, err := decodeAs[wireLeaseRequest](body)
		checkEqualAllSet(t, err, wire, wantWire)
		checkEqualAllSet(t, nil, encode(kindLeaseRequest, wantWire), stored)
	}}
}

func goldenLease() goldenMessage {
	lease := concurrencylease.Lease{AllocatorBootID: 11, Sequence: 9, Limit: 5, Duration: 2 * time.Second,
		UnleasedCalls: 1, MaxCallDuration: 5 * time.Second}
	wantWire := wireLease{AllocatorBootID: 11, Sequence: 9, Limit: 5, DurationMillis: 2000, UnleasedCalls: 1,
		MaxCallMillis: 5000}
	return goldenMessage{"grant", encodeLease(lease), func(t *testing.T, stored []byte) {
		t.Helper()
		body := checkHeader(t, stored, kindLease, 0)
		got, err := decodeLease(body)
		checkEqualAllSet(t, err, got, lease)
		wire, err := decodeAs[wireLease](body)
		checkEqualAllSet(t, err, wire, wantWire)
		checkEqualAllSet(t, nil, encode(kindLease, wantWire), stored)
	}}
}

func goldenState() goldenMessage {
	want := [][]byte{
		setAge(encodeHeartbeat(goldenHeartbeatValue()), goldenAge),
		encode(kindFenceNotice, wireFenceNotice{Name: "green", Incarnation: 1, BootID: 2}),
	}
	return goldenMessage{"state", encodeState(want), func(t *testing.T, stored []byte) {
		t.Helper()
		var parts [][]byte
		err := decodeState(stored, 2, func(part []byte) { parts = append(parts, part) })
		checkEqualAllSet(t, err, parts, want)
	}}
}

// The first byte of each kind of message is part of the protocol between releases.
func TestGoldenKinds(t *testing.T) {
	kinds := []messageKind{kindHeartbeat, kindFenceNotice, kindQuery, kindQueryReply, kindLeaseRequest, kindLease,
		kindPermitNotice, kindPermitBegin}
	checkEqualAllSet(t, nil, string(firstBytes(kinds)), "bfqwagpi")
}

func firstBytes(kinds []messageKind) (bytes []byte) {
	for _, kind := range kinds {
		bytes = append(bytes, byte(kind))
	}
	return bytes
}

// goldenWireMessage returns a golden message whose value is itself a wire struct, without conversion from another
// type.
func goldenWireMessage[T any](name string, kind messageKind, value T) goldenMessage {
	return goldenMessage{name, setAge(encode(kind, value), goldenAge), func(t *testing.T, stored []byte) {
		t.Helper()
		got, err := decodeAs[T](checkHeader(t, stored, kind, goldenAge))
		checkEqualAllSet(t, err, got, value)
	}}
}

func decodeAs[T any](body []byte) (value T, err error) {
	err = decode(body, &value)
	return value, err
}

// checkHeader checks the header of a stored message and returns its body.
func checkHeader(t *testing.T, stored []byte, wantKind messageKind, wantAge time.Duration) []byte {
	t.Helper()
	received, err := parseEnvelope(stored)
	if err != nil || received.kind != wantKind || received.age != wantAge {
		t.Fatalf("header is %q %v, error %v; want %q %v", received.kind, received.age, err, wantKind, wantAge)
	}
	return received.body
}

// checkEqualAllSet reports a failure unless err is nil, got equals want and every field of want is set.
func checkEqualAllSet[T any](t *testing.T, err error, got, want T) {
	t.Helper()
	checkEqual(t, err, got, want)
	if unset := unsetFields(reflect.ValueOf(want), ""); len(unset) > 0 {
		t.Errorf("fields not set: %v", unset)
	}
}

// checkEqual reports a failure unless err is nil and got equals want.
func checkEqual[T any](t *testing.T, err error, got, want T) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v\nerror %v", got, want, err)
	}
}

// unsetFields returns the names of the zero fields of a value, sorted and without duplicates.
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

// Each message is encoded to the same bytes as by the previous version, and the stored bytes are decoded to the same
// values.
func TestGoldenMessages(t *testing.T) {
	all := goldenMessages()
	var text strings.Builder
	text.WriteString("# Gossip messages, all fields set: name, then the bytes in hex.\n")
	for _, m := range all {
		fmt.Fprintf(&text, "%s %x\n", m.name, m.encoded)
	}
	goldentest.CheckText(t, filepath.Join("testdata", messagesFile), []byte(text.String()))
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
		t.Errorf("%d messages are stored, %d are defined", len(stored), len(all))
	}
	for _, m := range all {
		t.Run(m.name, func(t *testing.T) {
			if len(stored[m.name]) == 0 {
				t.Fatal("message is not stored")
			}
			if !bytes.Equal(m.encoded, stored[m.name]) {
				t.Errorf("encoded message is\n%x, stored message is\n%x", m.encoded, stored[m.name])
			}
			m.decode(t, stored[m.name])
		})
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}
