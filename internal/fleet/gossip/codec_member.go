package gossip

import (
	"math"

	"lanewheel/internal/membership"
)

const (
	maxCapacity       = 1e6       // cores
	maxWarmUpMillis   = 3_600_000 // 1 hour
	maxReadyForMillis = math.MaxInt32 * 1000
)

// encodeDescriptor encodes the fields of a descriptor that memberlist does not carry in a node's name and address.
func encodeDescriptor(descriptor membership.Descriptor) []byte {
	return encodeBody(wireDescriptor{
		Incarnation:  uint64(descriptor.Incarnation),
		Roles:        uint8(descriptor.Roles),
		Zone:         descriptor.Zone,
		Release:      descriptor.Release,
		Capacity:     descriptor.Capacity,
		WarmUpMillis: descriptor.WarmUp.Milliseconds(),
		ServiceAddr:  descriptor.ServiceAddr,
	})
}

// decodeDescriptor returns the descriptor of a memberlist node from its name, address and metadata.
func decodeDescriptor(name, addr string, meta []byte) (descriptor membership.Descriptor, err error) {
	id, ok := membership.ParseID(name)
	if !ok || !validNameLengths(string(id.Name)) {
		return descriptor, errOutOfRange
	}
	var wire wireDescriptor
	if err := decode(meta, &wire); err != nil {
		return descriptor, err
	}
	validCapacity := wire.Capacity > 0 && wire.Capacity <= maxCapacity // false for NaN
	if !validNameLengths(wire.ServiceAddr, wire.Zone, wire.Release) || !validCapacity ||
		!millisInRange(wire.WarmUpMillis, maxWarmUpMillis) {
		return descriptor, errOutOfRange
	}
	return membership.Descriptor{
		Name:        id.Name,
		BootID:      id.BootID,
		Incarnation: membership.Incarnation(wire.Incarnation),
		GossipAddr:  addr,
		ServiceAddr: wire.ServiceAddr,
		Roles:       membership.Roles(wire.Roles),
		Zone:        wire.Zone,
		Release:     wire.Release,
		Capacity:    wire.Capacity,
		WarmUp:      durationFromMillis(wire.WarmUpMillis),
	}, nil
}

func encodeHeartbeat(heartbeat membership.Heartbeat) []byte {
	wire := wireHeartbeat{
		Name:           string(heartbeat.Name),
		BootID:         uint64(heartbeat.BootID),
		Incarnation:    uint64(heartbeat.Incarnation),
		Sequence:       heartbeat.Sequence,
		Ready:          heartbeat.Ready,
		ReadyForMillis: heartbeat.ReadyFor.Milliseconds(),
		Draining:       heartbeat.Draining,
		ViewDigest:     heartbeat.ViewDigest,
	}
	for _, metric := range heartbeat.Metrics {
		wire.Metrics = append(wire.Metrics, wireMetric{
			Name:      metric.Name,
			Value:     metric.Value,
			TTLMillis: metric.TTL.Milliseconds(),
		})
	}
	return encode(kindHeartbeat, wire)
}

func decodeHeartbeat(body []byte) (heartbeat membership.Heartbeat, err error) {
	var wire wireHeartbeat
	if err := decode(body, &wire); err != nil {
		return heartbeat, err
	}
	if wire.Name == "" || !validNameLengths(wire.Name) || !millisInRange(wire.ReadyForMillis, maxReadyForMillis) {
		return heartbeat, errOutOfRange
	}
	metrics, err := decodeMetrics(wire.Metrics)
	if err != nil {
		return heartbeat, err
	}
	return membership.Heartbeat{
		ID:          membership.ID{Name: membership.Name(wire.Name), BootID: membership.BootID(wire.BootID)},
		Incarnation: membership.Incarnation(wire.Incarnation),
		Sequence:    wire.Sequence,
		Ready:       wire.Ready,
		ReadyFor:    durationFromMillis(wire.ReadyForMillis),
		Draining:    wire.Draining,
		ViewDigest:  wire.ViewDigest,
		Metrics:     metrics,
	}, nil
}

func decodeMetrics(wire []wireMetric) (metrics []membership.Metric, err error) {
	for _, metric := range wire {
		if metric.Name == "" || len(metric.Name) > maxMetricNameBytes ||
			!millisInRange(metric.TTLMillis, math.MaxInt32) {
			return nil, errOutOfRange
		}
		metrics = append(metrics, membership.Metric{
			Name:  metric.Name,
			Value: metric.Value,
			TTL:   durationFromMillis(metric.TTLMillis),
		})
	}
	return metrics, nil
}
