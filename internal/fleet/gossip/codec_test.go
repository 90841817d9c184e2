package gossip

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
	_ "lanewheel/internal/rapidtest"
)

// What is written is read as it was, less what is under a millisecond.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(0, 3_600_000).Draw(t, label)) * time.Millisecond
		}
		b := membership.Heartbeat{ID: membership.ID{Name: membership.Name(rapid.StringMatching(`[a-z]{1,64}`).Draw(t, "name")), BootID: membership.BootID(rapid.Uint64().Draw(t, "life"))},
			Incarnation: membership.Incarnation(rapid.Uint64().Draw(t, "incarnation")), Sequence: rapid.Uint64().Draw(t, "seq"), Ready: rapid.Bool().Draw(t, "ready"),
			ReadyFor: ms("ready for"), Draining: rapid.Bool().Draw(t, "leaving"), ViewDigest: rapid.Uint64().Draw(t, "digest")}
		for range rapid.IntRange(0, 8).Draw(t, "facts") {
			b.Metrics = append(b.Metrics, membership.Metric{Name: rapid.StringMatching(`[a-z]{1,16}`).Draw(t, "key"), Value: rapid.Float64().Draw(t, "value"), TTL: ms("holds")})
		}
		kind, age, body, err := splitHead(setAge(encodeHeartbeat(b), 1500*time.Millisecond))
		if err != nil || kind != kindHeartbeat || age != 1500*time.Millisecond {
			t.Fatal(kind, age, err)
		}
		if back, err := decodeHeartbeat(body); err != nil || !reflect.DeepEqual(back, b) {
			t.Fatal(err, back, b)
		}
		c := membership.Descriptor{Name: b.Name, ServiceAddr: "s:1", BootID: b.BootID, Incarnation: b.Incarnation, GossipAddr: "a:1", Roles: membership.RoleServer | membership.RoleProxy, Zone: "z", Release: "r", Capacity: 2.5, WarmUp: ms("warm")}
		if back, err := decodeDescriptor(c.ID().String(), "a:1", encodeDescriptor(c)); err != nil || back != c {
			t.Fatal(err, back, c)
		}
		count := func(label string) int { return rapid.IntRange(0, 1<<40).Draw(t, label) }
		a := concurrencylease.Request{Holder: b.ID, Sequence: 1 + rapid.Uint64Max(1<<60).Draw(t, "ask"), Held: concurrencylease.HeldLease{AllocatorBootID: b.BootID, Sequence: b.Sequence, Limit: count("limit")}, OpenCalls: count("open"), WantedCalls: count("wants")}
		_, _, body, _ = splitHead(encodeLeaseRequest(a, c.ID(), "a:1"))
		if back, addr, err := decodeLeaseRequest(body, c.ID()); err != nil || back != a || addr != "a:1" || len(body) > maxMessageBytes {
			t.Fatal(err, back, a)
		}
		if _, _, err := decodeLeaseRequest(body, membership.ID{Name: "another", BootID: 1}); err == nil {
			t.Fatal("an ask of another")
		}
		g := concurrencylease.Lease{AllocatorBootID: b.BootID, Sequence: b.Sequence, Limit: count("granted"), Duration: ms("for") + time.Millisecond, UnleasedCalls: 1, MaxCallDuration: ms("longest") + time.Millisecond}
		_, _, body, _ = splitHead(encodeLease(g))
		if back, err := decodeLease(body); err != nil || back != g {
			t.Fatal(err, back, g)
		}
		if n := len(encodeDescriptor(c)); n > 512 {
			t.Fatal("a claim of ", n)
		}
	})
}

// What is cut, too long, out of range or foreign is an error and nothing else.
func Example_bad() {
	b := encodeHeartbeat(membership.Heartbeat{ID: membership.ID{Name: "n", BootID: 1}, Metrics: []membership.Metric{{Name: "load", Value: 1, TTL: time.Second}}})
	read := func(b []byte) (err error) {
		_, _, body, err := splitHead(b)
		if err == nil {
			_, err = decodeHeartbeat(body)
		}
		return err
	}
	bad := 0
	for cut := range len(b) {
		if read(b[:cut]) != nil {
			bad++
		}
	}
	fmt.Println(bad == len(b), read(append(b, make([]byte, 600)...)))
	fmt.Println(read(encodeHeartbeat(membership.Heartbeat{ID: membership.ID{Name: "n"}, Metrics: []membership.Metric{{Name: "a name that is far too long"}}})))
	for _, name := range []string{"n", "n@1", "@0000000000000001", "n@000000000000000x"} {
		_, err := decodeDescriptor(name, "a:1", encodeDescriptor(membership.Descriptor{Capacity: 1}))
		fmt.Print(err, " ")
	}
	_, err := decodeDescriptor("n@0000000000000001", "a:1", encodeDescriptor(membership.Descriptor{Capacity: -1}))
	fmt.Println(err)
	n := 0
	err = decodeState(encodeState([][]byte{{1}, {2, 3}, {4}}), 2, func([]byte) { n++ })
	fmt.Println(n, err, decodeState([]byte{0, 9, 1}, 5, func([]byte) {}))
	// Output:
	// true too large
	// out of range
	// out of range out of range out of range out of range out of range
	// 2 <nil> cut short
}

func FuzzMessages(f *testing.F) {
	f.Add(encodeHeartbeat(membership.Heartbeat{ID: membership.ID{Name: "n", BootID: 1}, Metrics: []membership.Metric{{Name: "load", Value: 1}}}))
	f.Add(encodeDescriptor(membership.Descriptor{Capacity: 1, Zone: "z"}))
	f.Add(encode(kindFenceNotice, wireFenceNotice{"n", 1, 2}))
	f.Add(encodeLeaseRequest(concurrencylease.Request{Holder: membership.ID{Name: "n", BootID: 1}, Sequence: 1, WantedCalls: 3}, membership.ID{Name: "n", BootID: 1}, "a:1"))
	f.Add(encodeLease(concurrencylease.Lease{AllocatorBootID: 1, Sequence: 1, Limit: 2, Duration: time.Second, MaxCallDuration: time.Second}))
	f.Add(encode(kindPermitNotice, wirePermitNotice{"a@1", "b@1", "c:1", 7, true}))
	f.Add(encode(kindPermitBegin, wirePermitBegin{"a@1", "b@1", "c:1", 9, 7}))
	f.Add(encode(kindQuery, wireQuery{1, "a@1", "b@1", "c:1"}))
	f.Add(encode(kindQueryReply, wireQueryReply{Nonce: 1, Load: -0.5, Finished: 3}))
	f.Add([]byte{'b', 0, 0, 0, 0, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, _, body, err := splitHead(b); err == nil {
			if x, err := decodeHeartbeat(body); err == nil && (x.Name == "" || len(x.Metrics) > 0 && x.Metrics[0].Name == "") {
				t.Fatal(x)
			}
			var x wireFenceNotice
			_ = decode(body, &x)
			var q wireQuery
			_ = decode(body, &q)
			var w wireQueryReply
			_ = decode(body, &w)
			var p wirePermitNotice
			_ = decode(body, &p)
			var b wirePermitBegin
			_ = decode(body, &b)
			if a, _, err := decodeLeaseRequest(body, membership.ID{Name: "n", BootID: 1}); err == nil && (a.Sequence == 0 || a.OpenCalls < 0 || a.WantedCalls < 0) {
				t.Fatal(a)
			}
			if g, err := decodeLease(body); err == nil && (g.Duration <= 0 || g.Limit < 0) {
				t.Fatal(g)
			}
		}
		_, _ = decodeDescriptor("n@0000000000000001", "a:1", b)
		total := 0
		_ = decodeState(b, 100, func(m []byte) { total += len(m) })
		if total > len(b) {
			t.Fatal("more than there was")
		}
	})
}
