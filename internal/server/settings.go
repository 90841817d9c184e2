package server

import (
	"math"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
)

// serviceSettings is what the server itself needs of the admission settings. It never changes after New.
type serviceSettings struct {
	classes             map[admission.Class]classSettings
	tenants             map[admission.TenantID]bool // empty where there are no tenants
	cores               float64                     // of the runtime
	requestsAreCalls    bool                        // requests are the upstream calls of another tier's requests
	coalescedReadWindow time.Duration               // how long the result of a read answers its duplicates
	idleTimeout         time.Duration               // of client connections; 0: none
	retryAfterAllowed   bool                        // whether callers are told when to come again
	maxRetryAfter       time.Duration               // 0: no limit
}

// classSettings is what the server needs of one class of requests.
type classSettings struct {
	timeout          time.Duration
	latencyObjective time.Duration
	idempotency      admission.Idempotency
}

// newServiceSettings picks what the server needs out of the admission settings.
func newServiceSettings(settings *admission.Settings) serviceSettings {
	result := serviceSettings{
		classes:             map[admission.Class]classSettings{},
		tenants:             map[admission.TenantID]bool{},
		cores:               settings.Cores,
		requestsAreCalls:    settings.Tier > 0,
		coalescedReadWindow: settings.CoalescedReadWindow,
		idleTimeout:         settings.MaxIdleTimeout,
		retryAfterAllowed:   settings.RetryAfterAllowed,
		maxRetryAfter:       settings.MaxRetryAfter,
	}
	for _, class := range settings.Classes {
		result.classes[class.Name] = classSettings{
			timeout:          max(class.Timeout, class.LatencyObjective),
			latencyObjective: class.LatencyObjective,
			idempotency:      class.Idempotency,
		}
	}
	for _, tenant := range settings.Tenants {
		result.tenants[tenant.Name] = true
	}
	return result
}

// Bounds of what a request may say of itself.
const (
	maxMemoryKB = 2000 // exclusive
	maxRank     = 1    // exclusive
	maxCaller   = math.MaxInt32
)

// maxTimeouts is how many timeouts of its class a request may be old, wait or work at most.
const maxTimeouts = 10

// maxWait is the longest time that a request of a class with this timeout may be old, wait or work. Where there is no
// timeout, or a huge one, it is a day: a hundred thousand of those still add up without overflow.
func maxWait(timeout time.Duration) time.Duration {
	const day = 24 * time.Hour
	if timeout <= 0 || timeout > day/maxTimeouts {
		return day
	}
	return maxTimeouts * timeout
}

// check tells what makes a request one that could never be served, empty if nothing does. The controller must not learn
// from figures that nobody meant, or calculate with such as overflow.
func (s *serviceSettings) check(request *frontend.Request) frontend.RejectionCode {
	class, ok := s.classes[admission.Class(request.Class)]
	if !ok {
		return frontend.UnknownClass
	}
	if len(s.tenants) > 0 && !s.tenants[admission.TenantID(request.Tenant)] {
		return frontend.UnknownTenant
	}
	maxDuration := maxWait(class.timeout)
	switch {
	case request.MemoryKB <= 0 || request.MemoryKB >= maxMemoryKB,
		request.Rank < 0 || request.Rank >= maxRank,
		request.Caller < 0 || request.Caller > maxCaller,
		request.Timeout > maxDuration || request.WorkHint > maxDuration:
		return frontend.OutOfRange
	}
	return ""
}
