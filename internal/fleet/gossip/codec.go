package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"lanewheel/internal/concurrencylease"
	"lanewheel/internal/membership"
)

// What members say to each other, MessagePack behind a head of one byte for the kind and four for the age in milliseconds. The age
// stands apart, as it is written anew whenever the message goes out; nobody's wall clock is in any message.
const (
	kindHeartbeat    byte = 'b'
	kindFenceNotice  byte = 'f'
	kindQuery        byte = 'q'
	kindQueryReply   byte = 'w'
	kindLeaseRequest byte = 'a'
	kindLease        byte = 'g'
	kindPermitNotice byte = 'p'
	kindPermitBegin  byte = 'i'
	headSize              = 5
)

// What a member may say. A bulletin has to go into a packet beside others, and a claim into the 512 bytes that the gossip gives.
const (
	maxNameBytes       = 64
	maxMetricNameBytes = 16
	maxMessageBytes    = 512
)

var (
	errUnknownKind = errors.New("no kind that we know")
	errTruncated   = errors.New("cut short")
	errTooLarge    = errors.New("too large")
	errOutOfRange  = errors.New("out of range")
)

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.RawToString = true
	h.MaxInitLen = 64 // Danger: a length of billions in a packet of ten bytes
	return h
}()

// wireDescriptor is a members.Claim on the wire, less what the gossip carries itself.
type wireDescriptor struct {
	Incarnation  uint64  `codec:"i"`
	Roles        uint8   `codec:"r"`
	Zone         string  `codec:"z"`
	Release      string  `codec:"e"`
	Capacity     float64 `codec:"c"`
	WarmUpMillis int64   `codec:"w"`
	ServiceAddr  string  `codec:"a"`
}

type wireHeartbeat struct {
	Name           string       `codec:"n"`
	BootID         uint64       `codec:"l"`
	Incarnation    uint64       `codec:"i"`
	Sequence       uint64       `codec:"s"`
	Ready          bool         `codec:"r"`
	ReadyForMillis int64        `codec:"d"`
	Draining       bool         `codec:"g"`
	ViewDigest     uint64       `codec:"v"`
	Metrics        []wireMetric `codec:"t"`
}

type wireMetric struct {
	Name      string  `codec:"k"`
	Value     float64 `codec:"v"`
	TTLMillis int64   `codec:"h"`
}

// wireQuery asks a member how it stands; word is the answer.
type wireQuery struct {
	Nonce     uint64 `codec:"n"`
	To        string `codec:"t"` // the life that is asked
	From      string `codec:"w"` // the life that asks, and where it is reached
	ReplyAddr string `codec:"a"`
}

type wireQueryReply struct {
	Nonce           uint64  `codec:"n"`
	Load            float64 `codec:"l"`
	Finished        float64 `codec:"d,omitempty"` // ops that ended since its start, those in their target latency, and the s that all took
	WithinObjective float64 `codec:"w,omitempty"`
	TotalSeconds    float64 `codec:"t,omitempty"`
}

// wirePermitNotice tells a life of a permit that it has, or that it has begun; begin is its word that it would begin.
type wirePermitNotice struct {
	To        string `codec:"t"`
	From      string `codec:"w"` // the steward, and where it is reached
	ReplyAddr string `codec:"a"`
	Number    uint64 `codec:"n"`
	Begun     bool   `codec:"b"`
}

type wirePermitBegin struct {
	To          string `codec:"t"`
	From        string `codec:"w"` // the holder, and where it is reached
	ReplyAddr   string `codec:"a"`
	Incarnation uint64 `codec:"i"`
	Number      uint64 `codec:"n"`
}

// wireLeaseRequest is a grants.Ask, and grant its answer.
type wireLeaseRequest struct {
	To              string `codec:"t"` // the life that is asked
	From            string `codec:"w"` // the life that asks, and where it is reached
	ReplyAddr       string `codec:"a"`
	Sequence        uint64 `codec:"s"`
	AllocatorBootID uint64 `codec:"d"` // who granted what it has, in answer to which ask
	HeldSequence    uint64 `codec:"h"`
	HeldLimit       int    `codec:"l"`
	OpenCalls       int    `codec:"o"`
	WantedCalls     int    `codec:"n"`
}

type wireLease struct {
	AllocatorBootID uint64 `codec:"d"`
	Sequence        uint64 `codec:"s"`
	Limit           int    `codec:"l"`
	DurationMillis  int64  `codec:"h"`
	UnleasedCalls   int    `codec:"a"`
	MaxCallMillis   int64  `codec:"m"`
}

// decodeLeaseRequest reads what a holder wants; it counts for the life that it says it is, and for us only if it means this life of ours.
func decodeLeaseRequest(body []byte, self membership.ID) (request concurrencylease.Request, addr string, err error) {
	var wire wireLeaseRequest
	if err = decode(body, &wire); err != nil {
		return request, "", err
	}
	from, ok := membership.ParseID(wire.From)
	if !ok || wire.Sequence == 0 || wire.HeldLimit < 0 || wire.OpenCalls < 0 || wire.WantedCalls < 0 || wire.To != self.String() || len(wire.ReplyAddr) > maxNameBytes {
		return request, "", errOutOfRange
	}
	return concurrencylease.Request{Holder: from, Sequence: wire.Sequence, Held: concurrencylease.HeldLease{AllocatorBootID: membership.BootID(wire.AllocatorBootID), Sequence: wire.HeldSequence, Limit: wire.HeldLimit}, OpenCalls: wire.OpenCalls, WantedCalls: wire.WantedCalls}, wire.ReplyAddr, nil
}

func encodeLeaseRequest(request concurrencylease.Request, to membership.ID, replyAddr string) []byte {
	return encode(kindLeaseRequest, wireLeaseRequest{to.String(), request.Holder.String(), replyAddr, request.Sequence, uint64(request.Held.AllocatorBootID), request.Held.Sequence, request.Held.Limit, request.OpenCalls, request.WantedCalls})
}

func encodeLease(lease concurrencylease.Lease) []byte {
	return encode(kindLease, wireLease{uint64(lease.AllocatorBootID), lease.Sequence, lease.Limit, lease.Duration.Milliseconds(), lease.UnleasedCalls, lease.MaxCallDuration.Milliseconds()})
}

func decodeLease(body []byte) (lease concurrencylease.Lease, err error) {
	var wire wireLease
	if err = decode(body, &wire); err == nil && (wire.Limit < 0 || wire.DurationMillis <= 0 || wire.DurationMillis > math.MaxInt32 || wire.UnleasedCalls < 0 || wire.MaxCallMillis <= 0 || wire.MaxCallMillis > math.MaxInt32) {
		err = errOutOfRange
	}
	return concurrencylease.Lease{AllocatorBootID: membership.BootID(wire.AllocatorBootID), Sequence: wire.Sequence, Limit: wire.Limit, Duration: time.Duration(wire.DurationMillis) * time.Millisecond, UnleasedCalls: wire.UnleasedCalls,
		MaxCallDuration: time.Duration(wire.MaxCallMillis) * time.Millisecond}, err
}

// wireFenceNotice tells a life that a later one has its name.
type wireFenceNotice struct {
	Name        string `codec:"n"`
	Incarnation uint64 `codec:"i"`
	BootID      uint64 `codec:"l"`
}

func encode(kind byte, value any) []byte {
	message := make([]byte, headSize, 128)
	message[0] = kind
	var body []byte
	if err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(value); err != nil {
		panic(err) // our own types, which every message shows
	}
	return append(message, body...)
}

func decode(body []byte, value any) error {
	if len(body) > maxMessageBytes {
		return errTooLarge
	}
	return codec.NewDecoderBytes(body, msgpackHandle).Decode(value)
}

// setAge writes an age into a message's head.
func setAge(message []byte, age time.Duration) []byte {
	binary.BigEndian.PutUint32(message[1:], uint32(min(max(0, age.Milliseconds()), math.MaxUint32)))
	return message
}

// splitHead gives the kind and the age of a message, and what stands behind its head.
func splitHead(message []byte) (kind byte, age time.Duration, body []byte, err error) {
	if len(message) < headSize {
		return 0, 0, nil, errTruncated
	}
	return message[0], time.Duration(binary.BigEndian.Uint32(message[1:])) * time.Millisecond, message[headSize:], nil
}

func encodeDescriptor(descriptor membership.Descriptor) []byte {
	return encode('c', wireDescriptor{uint64(descriptor.Incarnation), uint8(descriptor.Roles), descriptor.Zone, descriptor.Release, descriptor.Capacity, descriptor.WarmUp.Milliseconds(), descriptor.ServiceAddr})[headSize:]
}

// decodeDescriptor reads what a member says of itself beside its name and address.
func decodeDescriptor(name, addr string, meta []byte) (descriptor membership.Descriptor, err error) {
	id, ok := membership.ParseID(name)
	if !ok || len(id.Name) > maxNameBytes {
		return descriptor, errOutOfRange
	}
	var wire wireDescriptor
	if err := decode(meta, &wire); err != nil {
		return descriptor, err
	}
	if len(wire.ServiceAddr) > maxNameBytes || len(wire.Zone) > maxNameBytes || len(wire.Release) > maxNameBytes || !(wire.Capacity > 0 && wire.Capacity <= 1e6) || wire.WarmUpMillis < 0 || wire.WarmUpMillis > 3_600_000 {
		return descriptor, errOutOfRange
	}
	return membership.Descriptor{Name: id.Name, BootID: id.BootID, Incarnation: membership.Incarnation(wire.Incarnation), GossipAddr: addr, ServiceAddr: wire.ServiceAddr, Roles: membership.Roles(wire.Roles),
		Zone: wire.Zone, Release: wire.Release, Capacity: wire.Capacity, WarmUp: time.Duration(wire.WarmUpMillis) * time.Millisecond}, nil
}

func encodeHeartbeat(heartbeat membership.Heartbeat) []byte {
	wire := wireHeartbeat{string(heartbeat.Name), uint64(heartbeat.BootID), uint64(heartbeat.Incarnation), heartbeat.Sequence, heartbeat.Ready, heartbeat.ReadyFor.Milliseconds(), heartbeat.Draining, heartbeat.ViewDigest, nil}
	for _, metric := range heartbeat.Metrics {
		wire.Metrics = append(wire.Metrics, wireMetric{metric.Name, metric.Value, metric.TTL.Milliseconds()})
	}
	return encode(kindHeartbeat, wire)
}

func decodeHeartbeat(body []byte) (heartbeat membership.Heartbeat, err error) {
	var wire wireHeartbeat
	if err := decode(body, &wire); err != nil {
		return heartbeat, err
	}
	if wire.Name == "" || len(wire.Name) > maxNameBytes || wire.ReadyForMillis < 0 || wire.ReadyForMillis > math.MaxInt32*1000 {
		return heartbeat, errOutOfRange
	}
	heartbeat = membership.Heartbeat{ID: membership.ID{Name: membership.Name(wire.Name), BootID: membership.BootID(wire.BootID)}, Incarnation: membership.Incarnation(wire.Incarnation),
		Sequence: wire.Sequence, Ready: wire.Ready, ReadyFor: time.Duration(wire.ReadyForMillis) * time.Millisecond, Draining: wire.Draining, ViewDigest: wire.ViewDigest}
	for _, metric := range wire.Metrics {
		if metric.Name == "" || len(metric.Name) > maxMetricNameBytes || metric.TTLMillis < 0 || metric.TTLMillis > math.MaxInt32 {
			return membership.Heartbeat{}, errOutOfRange
		}
		heartbeat.Metrics = append(heartbeat.Metrics, membership.Metric{Name: metric.Name, Value: metric.Value, TTL: time.Duration(metric.TTLMillis) * time.Millisecond})
	}
	return heartbeat, nil
}

// encodeState puts messages behind each other, each with its length before it.
func encodeState(messages [][]byte) []byte {
	var state []byte
	for _, message := range messages {
		state = append(binary.BigEndian.AppendUint16(state, uint16(len(message))), message...)
	}
	return state
}

// decodeState takes them apart; most is how many are read, the rest is left.
func decodeState(state []byte, limit int, handle func([]byte)) error {
	for ; len(state) > 0 && limit > 0; limit-- {
		if len(state) < 2 || len(state) < 2+int(binary.BigEndian.Uint16(state)) {
			return errTruncated
		}
		end := 2 + int(binary.BigEndian.Uint16(state))
		handle(state[2:end])
		state = state[end:]
	}
	return nil
}
