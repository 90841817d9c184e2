package balancer

const (
	// saturatedUtilization is the utilization of the local zone, in requests in progress a core, at which as much
	// leaves it as the others have room for. A lower one would oscillate: what leaves shows in the loads a while
	// later.
	saturatedUtilization = 1.7

	// spareUtilization is the utilization up to which a zone has spare capacity.
	spareUtilization = 1.2

	// minSpareFraction is the share of its capacity that a full zone still takes, as loads move.
	minSpareFraction = 0.02

	// minOutflow is the share of the requests that leave the local zone in any case, so that the others' loads are known.
	minOutflow = 0.001
)

// zoneLoad is what is believed of one zone as a whole.
type zoneLoad struct {
	capacity float64 // cores
	load     float64 // requests in progress, of the endpoints with a recent report
	reports  int     // endpoints with a recent report
	spare    float64 // cores
	weight   float64 // factor of the weight of each endpoint in it
}

// recomputeZoneWeights keeps all requests in our own zone while it has room. What does not fit goes to the other zones
// by the room that they have, without a step between.
func (b *Balancer) recomputeZoneWeights() {
	local := b.zones[b.config.LocalZone]
	if b.config.LocalZone == "" || local == nil || len(b.zones) == 1 {
		for _, zone := range b.zones {
			zone.weight = 1
		}
		return
	}
	spareElsewhere := 0.0
	for name, zone := range b.zones {
		zone.spare = max(minSpareFraction, spareUtilization-b.utilization(zone)) * zone.capacity
		if name != b.config.LocalZone {
			spareElsewhere += zone.spare
		}
	}
	utilization := b.config.LocalZoneUtilization
	excess := min(1, max(0, (b.utilization(local)-utilization)/(saturatedUtilization-utilization)))
	outflow := excess * spareElsewhere / (spareElsewhere + local.spare)
	for name, zone := range b.zones {
		if name == b.config.LocalZone {
			zone.weight = (1 - outflow) / zone.capacity
		} else {
			zone.weight = max(outflow, minOutflow) * zone.spare / spareElsewhere / zone.capacity
		}
	}
}

// utilization returns the requests in progress a core of a zone, the mean where nothing is known of it.
func (b *Balancer) utilization(zone *zoneLoad) float64 {
	if zone.reports == 0 {
		return b.meanLoad
	}
	return zone.load / zone.capacity
}
