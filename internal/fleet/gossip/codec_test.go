package gossip

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
	_ "lanewheel/internal/rapidtest"
)

// bodyOf returns a message without its header.
func bodyOf(message []byte) []byte { return message[headerSize:] }

func drawMillis(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, 3_600_000).Draw(t, label)) * time.Millisecond
}

func drawCount(t *rapid.T, label string) int { return rapid.IntRange(0, 1<<40).Draw(t, label) }

func drawHeartbeat(t *rapid.T) membership.Heartbeat {
	heartbeat := membership.Heartbeat{
		ID: membership.ID{
			Name:   membership.Name(rapid.StringMatching(`[a-z]{1,64}`).Draw(t, "name")),
			BootID: membership.BootID(rapid.Uint64().Draw(t, "boot ID")),
		},
		Incarnation: membership.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		Sequence:    rapid.Uint64().Draw(t, "sequence"),
		Ready:       rapid.Bool().Draw(t, "ready"),
		ReadyFor:    drawMillis(t, "ready for"),
		Draining:    rapid.Bool().Draw(t, "draining"),
		ViewDigest:  rapid.Uint64().Draw(t, "view digest"),
	}
	for range rapid.IntRange(0, 8).Draw(t, "metrics") {
		heartbeat.Metrics = append(heartbeat.Metrics, membership.Metric{
			Name:  rapid.StringMatching(`[a-z]{1,16}`).Draw(t, "metric"),
			Value: rapid.Float64().Draw(t, "value"),
			TTL:   drawMillis(t, "TTL"),
		})
	}
	return heartbeat
}

// Decoding an encoded value returns the same value. Durations are in whole milliseconds.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeat := drawHeartbeat(t)
		received, err := parseEnvelope(setAge(encodeHeartbeat(heartbeat), 1500*time.Millisecond))
		if err != nil || received.kind != kindHeartbeat || received.age != 1500*time.Millisecond {
			t.Fatal(received.kind, received.age, err)
		}
		if got, err := decodeHeartbeat(received.body); err != nil || !reflect.DeepEqual(got, heartbeat) {
			t.Fatal(err, got, heartbeat)
		}
		checkDescriptorRoundTrip(t, heartbeat.ID, heartbeat.Incarnation)
		checkLeaseRequestRoundTrip(t, heartbeat.ID)
		checkLeaseRoundTrip(t, heartbeat.BootID)
	})
}

func checkDescriptorRoundTrip(t *rapid.T, id membership.ID, incarnation membership.Incarnation) {
	descriptor := membership.Descriptor{
		Name:        id.Name,
		Incarnation: incarnation,
		BootID:      id.BootID,
		GossipAddr:  "a:1",
		ServiceAddr: "s:1",
		Roles:       membership.RoleServer | membership.RoleProxy,
		Zone:        "z",
		Release:     "r",
		Capacity:    2.5,
		WarmUp:      drawMillis(t, "warm-up"),
	}
	encoded := encodeDescriptor(descriptor)
	if got, err := decodeDescriptor(id.String(), "a:1", encoded); err != nil || got != descriptor {
		t.Fatal(err, got, descriptor)
	}
	if len(encoded) > 512 {
		t.Fatalf("encoded descriptor has %d bytes, maximum is 512", len(encoded))
	}
}

func checkLeaseRequestRoundTrip(t *rapid.T, id membership.ID) {
	request := concurrencylease.Request{
		Holder:   id,
		Sequence: 1 + rapid.Uint64Max(1<<60).Draw(t, "request sequence"),
		Held: concurrencylease.HeldLease{
			AllocatorBootID: id.BootID,
			Sequence:        rapid.Uint64().Draw(t, "held sequence"),
			Limit:           drawCount(t, "limit"),
		},
		OpenCalls:   drawCount(t, "open"),
		WantedCalls: drawCount(t, "wanted"),
	}
	body := bodyOf(encodeLeaseRequest(request, id, "a:1"))
	got, addr, err := decodeLeaseRequest(body, id)
	if err != nil || got != request || addr != "a:1" || len(body) > maxBodyBytes {
		t.Fatal(err, got, request)
	}
	if _, _, err := decodeLeaseRequest(body, membership.ID{Name: "another", BootID: 1}); err == nil {
		t.Fatal("accepted a request to another allocator")
	}
}

func checkLeaseRoundTrip(t *rapid.T, allocator membership.BootID) {
	lease := concurrencylease.Lease{
		AllocatorBootID: allocator,
		Sequence:        rapid.Uint64().Draw(t, "lease sequence"),
		Limit:           drawCount(t, "granted"),
		Duration:        drawMillis(t, "lease duration") + time.Millisecond,
		UnleasedCalls:   1,
		MaxCallDuration: drawMillis(t, "call duration") + time.Millisecond,
	}
	if got, err := decodeLease(bodyOf(encodeLease(lease))); err != nil || got != lease {
		t.Fatal(err, got, lease)
	}
}

// decodeHeartbeatMessage decodes a whole message as a heartbeat.
func decodeHeartbeatMessage(message []byte) error {
	received, err := parseEnvelope(message)
	if err == nil {
		_, err = decodeHeartbeat(received.body)
	}
	return err
}

// Decoding input that is truncated, too long, out of range or from a node with an invalid name only returns an error.
func Example_malformed() {
	message := encodeHeartbeat(membership.Heartbeat{
		ID:      membership.ID{Name: "n", BootID: 1},
		Metrics: []membership.Metric{{Name: "load", Value: 1, TTL: time.Second}},
	})
	rejected := 0
	for cut := range len(message) {
		if decodeHeartbeatMessage(message[:cut]) != nil {
			rejected++
		}
	}
	fmt.Println(rejected == len(message), decodeHeartbeatMessage(append(message, make([]byte, 600)...)))
	fmt.Println(decodeHeartbeatMessage(encodeHeartbeat(membership.Heartbeat{
		ID:      membership.ID{Name: "n"},
		Metrics: []membership.Metric{{Name: "a name that is far too long"}},
	})))
	for _, name := range []string{"n", "n@1", "@0000000000000001", "n@000000000000000x"} {
		_, err := decodeDescriptor(name, "a:1", encodeDescriptor(membership.Descriptor{Capacity: 1}))
		fmt.Print(err, " ")
	}
	_, err := decodeDescriptor("n@0000000000000001", "a:1", encodeDescriptor(membership.Descriptor{Capacity: -1}))
	fmt.Println(err)
	count := 0
	err = decodeState(encodeState([][]byte{{1}, {2, 3}, {4}}), 2, func([]byte) { count++ })
	fmt.Println(count, err, decodeState([]byte{0, 9, 1}, 5, func([]byte) {}))
	// Output:
	// true message body is too large
	// value is out of range
	// value is out of range value is out of range value is out of range value is out of range value is out of range
	// 2 <nil> message is truncated
}

// For each limit of a heartbeat, a descriptor and a lease, a value at the limit is accepted and the next one is
// rejected.
func TestDecodingLimits(t *testing.T) {
	const longestName = "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefghijkl" // maxNameBytes
	heartbeat := func(change func(*wireHeartbeat)) error {
		wire := wireHeartbeat{Name: "n", Metrics: []wireMetric{{Name: "load"}}}
		change(&wire)
		_, err := decodeHeartbeat(encodeBody(wire))
		return err
	}
	descriptor := func(change func(*wireDescriptor)) error {
		wire := wireDescriptor{Capacity: 1}
		change(&wire)
		_, err := decodeDescriptor("n@0000000000000001", "a:1", encodeBody(wire))
		return err
	}
	lease := func(change func(*wireLease)) error {
		wire := wireLease{DurationMillis: 1, MaxCallMillis: 1}
		change(&wire)
		_, err := decodeLease(encodeBody(wire))
		return err
	}
	for name, test := range map[string]struct{ within, beyond error }{
		"name": {
			heartbeat(func(w *wireHeartbeat) { w.Name = longestName }),
			heartbeat(func(w *wireHeartbeat) { w.Name = longestName + "x" }),
		},
		"ready for": {
			heartbeat(func(w *wireHeartbeat) { w.ReadyForMillis = math.MaxInt32 * 1000 }),
			heartbeat(func(w *wireHeartbeat) { w.ReadyForMillis = math.MaxInt32*1000 + 1 }),
		},
		"metric name": {
			heartbeat(func(w *wireHeartbeat) { w.Metrics[0].Name = longestName[:16] }),
			heartbeat(func(w *wireHeartbeat) { w.Metrics[0].Name = longestName[:17] }),
		},
		"TTL": {
			heartbeat(func(w *wireHeartbeat) { w.Metrics[0].TTLMillis = math.MaxInt32 }),
			heartbeat(func(w *wireHeartbeat) { w.Metrics[0].TTLMillis = math.MaxInt32 + 1 }),
		},
		"zone": {
			descriptor(func(w *wireDescriptor) { w.Zone = longestName }),
			descriptor(func(w *wireDescriptor) { w.Zone = longestName + "x" }),
		},
		"capacity": {
			descriptor(func(w *wireDescriptor) { w.Capacity = 1e6 }),
			descriptor(func(w *wireDescriptor) { w.Capacity = math.NaN() }),
		},
		"warm-up": {
			descriptor(func(w *wireDescriptor) { w.WarmUpMillis = 3_600_000 }),
			descriptor(func(w *wireDescriptor) { w.WarmUpMillis = 3_600_001 }),
		},
		"lease duration": {
			lease(func(w *wireLease) { w.DurationMillis = math.MaxInt32 }),
			lease(func(w *wireLease) { w.DurationMillis = 0 }),
		},
		"call duration": {
			lease(func(w *wireLease) { w.MaxCallMillis = math.MaxInt32 }),
			lease(func(w *wireLease) { w.MaxCallMillis = math.MaxInt32 + 1 }),
		},
	} {
		if test.within != nil || test.beyond == nil {
			t.Errorf("%s: error %v for a value within the limit, %v for one beyond it", name, test.within, test.beyond)
		}
	}
}
