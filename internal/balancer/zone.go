package balancer

const (
	// saturatedUtilization is the utilization of the local zone, in requests in progress per core, at which requests are
	// divided among all zones in proportion to their spare capacity. A lower value would cause oscillation, because
	// requests that leave the zone affect the reported loads only after a delay.
	saturatedUtilization = 1.7

	// spareUtilization is the utilization, in requests in progress per core, up to which a zone has spare capacity.
	spareUtilization = 1.2

	// minSpareFraction is the fraction of a zone's capacity that counts as spare even if the zone is full, because loads
	// change.
	minSpareFraction = 0.02

	// minOutflow is the minimum fraction of the requests that leave the local zone, so that there are samples from the
	// other zones.
	minOutflow = 0.001
)

// zoneLoad is the aggregated load of one zone.
type zoneLoad struct {
	capacity float64 // cores
	load     float64 // requests in progress at the endpoints with a recent report
	reports  int     // number of endpoints with a recent report
	spare    float64 // cores
	weight   float64 // factor applied to the weight of each endpoint in the zone
}

// recomputeZoneWeights keeps all requests in the local zone up to LocalZoneUtilization. The excess is divided among the
// other zones in proportion to their spare capacity. The fraction that leaves grows continuously with the utilization.
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

// utilization returns the requests in progress per core of a zone, or the mean load if there are no recent reports from
// the zone.
func (b *Balancer) utilization(zone *zoneLoad) float64 {
	if zone.reports == 0 {
		return b.meanLoad
	}
	return zone.load / zone.capacity
}
