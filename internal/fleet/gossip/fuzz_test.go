package gossip

import (
	"testing"
	"time"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// Decoding arbitrary bytes neither panics nor returns values out of range.
func FuzzMessages(f *testing.F) {
	id := membership.ID{Name: "n", BootID: 1}
	f.Add(encodeHeartbeat(membership.Heartbeat{ID: id, Metrics: []membership.Metric{{Name: "load", Value: 1}}}))
	f.Add(encodeDescriptor(membership.Descriptor{Capacity: 1, Zone: "z"}))
	f.Add(encode(kindFenceNotice, wireFenceNotice{"n", 1, 2}))
	f.Add(encodeLeaseRequest(concurrencylease.Request{Holder: id, Sequence: 1, WantedCalls: 3}, id, "a:1"))
	f.Add(encodeLease(concurrencylease.Lease{
		AllocatorBootID: 1, Sequence: 1, Limit: 2, Duration: time.Second, MaxCallDuration: time.Second,
	}))
	f.Add(encode(kindPermitNotice, wirePermitNotice{"a@1", "b@1", "c:1", 7, true}))
	f.Add(encode(kindPermitBegin, wirePermitBegin{"a@1", "b@1", "c:1", 9, 7}))
	f.Add(encode(kindQuery, wireQuery{1, "a@1", "b@1", "c:1"}))
	f.Add(encode(kindQueryReply, wireQueryReply{Nonce: 1, Load: -0.5, Finished: 3}))
	f.Add([]byte{'b', 0, 0, 0, 0, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		if received, err := parseEnvelope(message); err == nil {
			decodeAll(t, received.body, id)
		}
		_, _ = decodeDescriptor("n@0000000000000001", "a:1", message)
		total := 0
		_ = decodeState(message, 100, func(part []byte) { total += len(part) })
		if total > len(message) {
			t.Fatal("the decoded parts are longer than the state")
		}
	})
}

// decodeAll decodes a body as each kind of message.
func decodeAll(t *testing.T, body []byte, self membership.ID) {
	t.Helper()
	heartbeat, err := decodeHeartbeat(body)
	if err == nil && (heartbeat.Name == "" || len(heartbeat.Metrics) > 0 && heartbeat.Metrics[0].Name == "") {
		t.Fatal(heartbeat)
	}
	for _, wire := range []any{
		&wireFenceNotice{}, &wireQuery{}, &wireQueryReply{}, &wirePermitNotice{}, &wirePermitBegin{},
	} {
		_ = decode(body, wire) // may return an error, but must not panic
	}
	request, _, err := decodeLeaseRequest(body, self)
	if err == nil && (request.Sequence == 0 || request.OpenCalls < 0 || request.WantedCalls < 0) {
		t.Fatal(request)
	}
	lease, err := decodeLease(body)
	if err == nil && (lease.Duration <= 0 || lease.Limit < 0) {
		t.Fatal(lease)
	}
}
