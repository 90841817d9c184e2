package admission

import (
	"math"
	"time"
)

const (
	// quotaWindow is long enough for some tens of arrivals at the usual loads.
	quotaWindow = 4 * time.Second
	// tenantArrivalHistorySize holds about 500 arrivals per second over the window, twice the highest rate of one
	// instance.
	tenantArrivalHistorySize = 2048
	// quotaDeviations is the number of standard deviations by which a tenant may exceed its quota by chance.
	quotaDeviations = 2
)

// tenantQuotas counts the arrivals of each tenant and compares them with its quota.
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

// recordArrival counts an arrival and reports whether its tenant now exceeds this instance's part of the quota.
// Marked retries are not counted, because a rejection would otherwise count against the tenant.
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
	// A quota per second times share is this instance's part of the quota over the window.
	share := quotaWindow.Seconds() / max(1, q.fleetSize)
	// In a storm of unmarked retries all tenants exceed their quotas. The quotas are then scaled up with the
	// arrivals.
	instanceQuota := tenant.quotaPerSecond * share * max(1, arrived/(quotas*share))
	// At low rates, a tenant within its quota may exceed its part by chance.
	return float64(tenant.countSince(since)) > instanceQuota+quotaDeviations*math.Sqrt(instanceQuota)
}

// totals returns the arrivals of all tenants and the sum of their quotas. It adds them in the configured order.
func (q *tenantQuotas) totals(since time.Duration) (arrived, quotasPerSecond float64) {
	for _, settings := range q.configured {
		tenant := q.arrivals[settings.Name]
		arrived += float64(tenant.countSince(since))
		quotasPerSecond += tenant.quotaPerSecond
	}
	return arrived, quotasPerSecond
}

// countSince returns the number of arrivals after the given time.
func (t *tenantArrivals) countSince(from time.Duration) int {
	n := 0
	for _, at := range t.recent {
		if at > from {
			n++
		}
	}
	return n
}
