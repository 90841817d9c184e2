package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"lanewheel/internal/membership"
)

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
