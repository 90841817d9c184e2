package admission

import (
	"math"
	"time"
)

const (
	// quotaWindow holds some tens of arrivals at the usual loads.
	quotaWindow = 4 * time.Second
	// tenantArrivalHistorySize is 500 a second over the window, twice the fastest that one instance takes in.
	tenantArrivalHistorySize = 2048
	// quotaDeviations is how many standard deviations beyond its quota a tenant may be by chance.
	quotaDeviations = 2
)

// tenantQuotas counts the tenants' arrivals against their quotas.
type tenantQuotas struct {
	configured []TenantSettings
	fleetSize  float64
	arrivals   map[TenantID]*tenantArrivals
}

type tenantArrivals struct {
	quotaPerSecond float64
	recent         []time.Duration
}

func newTenantQuotas(settings *Settings) tenantQuotas {
	quotas := tenantQuotas{
		configured: settings.Tenants,
		fleetSize:  settings.FleetSize,
		arrivals:   map[TenantID]*tenantArrivals{},
	}
	for _, tenant := range settings.Tenants {
		quotas.arrivals[tenant.Name] = &tenantArrivals{quotaPerSecond: tenant.QuotaPerSecond}
	}
	return quotas
}

// recordArrival counts an arrival and tells whether its tenant now sends this instance more than its part of the quota.
// Marked retries are not counted, or a rejection would count against the tenant.
func (q *tenantQuotas) recordArrival(r *trackedRequest, now time.Duration) bool {
	tenant := q.arrivals[r.Tenant]
	if tenant == nil || tenant.quotaPerSecond <= 0 {
		return false
	}
	if !r.IsRetry {
		tenant.recent = appendRecent(tenant.recent, now, tenantArrivalHistorySize)
	}
	since := now - quotaWindow
	arrived, quotas := q.totals(since)
	share := quotaWindow.Seconds() / max(1, q.fleetSize)
	// In a storm of unmarked retries all tenants are beyond their quotas; the quotas then grow with all that comes.
	part := tenant.quotaPerSecond * share * max(1, arrived/(quotas*share))
	// Where few requests come, a tenant within its quota is beyond it by chance.
	return float64(tenant.countSince(since)) > part+quotaDeviations*math.Sqrt(part)
}

// totals counts the arrivals of all tenants and sums their quotas, in the order configured.
func (q *tenantQuotas) totals(since time.Duration) (arrived, quotasPerSecond float64) {
	for _, settings := range q.configured {
		tenant := q.arrivals[settings.Name]
		arrived += float64(tenant.countSince(since))
		quotasPerSecond += tenant.quotaPerSecond
	}
	return arrived, quotasPerSecond
}

// countSince counts the arrivals after a moment.
func (t *tenantArrivals) countSince(from time.Duration) int {
	n := 0
	for _, at := range t.recent {
		if at > from {
			n++
		}
	}
	return n
}
