package server

import (
	"math"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
)

// serviceSettings is the part of the admission settings that the server itself uses. It never changes after New.
type serviceSettings struct {
	classes             map[admission.Class]classSettings
	tenants             map[admission.TenantID]bool // names of the tenants; empty if there are none
	cores               float64                     // cores of the runtime
	requestsAreCalls    bool                        // requests are upstream calls made by the requests of another tier
	coalescedReadWindow time.Duration               // how long the result of a read answers its duplicates
	idleTimeout         time.Duration               // of client connections; 0 means no timeout
	retryAfterAllowed   bool                        // rejections may carry a Retry-After
	maxRetryAfter       time.Duration               // 0 means no limit
}

// classSettings is the part of the settings of a request class that the server uses.
type classSettings struct {
	timeout          time.Duration
	latencyObjective time.Duration
	idempotency      admission.Idempotency
	callsSkippable   bool // an answer without the upstream call has a value

	idempotencyWindow time.Duration // of a class that is idempotent by key, from the time at which an attempt was sent
}

// newServiceSettings extracts the server's part from the admission settings.
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
			callsSkippable:   class.SkippedCallValue > 0,

			idempotencyWindow: class.IdempotencyWindow,
		}
	}
	for _, tenant := range settings.Tenants {
		result.tenants[tenant.Name] = true
	}
	return result
}

// Bounds of the values in a request.
const (
	maxMemoryKB = 2000 // exclusive
	maxRank     = 1    // exclusive
	maxCaller   = math.MaxInt32
)

// maxTimeouts is the maximum age, timeout or work of a request, in timeouts of its class.
const maxTimeouts = 10

// maxWait returns the maximum age, timeout or work of a request whose class has the given timeout. Without a timeout,
// or with a huge one, it is a day: the sum of a hundred thousand such durations does not overflow.
func maxWait(timeout time.Duration) time.Duration {
	const day = 24 * time.Hour
	if timeout <= 0 || timeout > day/maxTimeouts {
		return day
	}
	return maxTimeouts * timeout
}

// check returns the code with which a request is rejected permanently, or an empty code if the request can be served.
func (s *serviceSettings) check(request *frontend.Request) frontend.RejectionCode {
	class, ok := s.classes[admission.Class(request.Class)]
	if !ok {
		return frontend.UnknownClass
	}
	if len(s.tenants) > 0 && !s.tenants[admission.TenantID(request.Tenant)] {
		return frontend.UnknownTenant
	}
	return CheckValues(request, class.timeout)
}

// CheckValues returns frontend.OutOfRange if a value of a request is implausible, and otherwise an empty code. timeout
// is the timeout of its class. The check protects the controller from learning from implausible values and from
// calculating with values that overflow. It may be called from any goroutine.
func CheckValues(request *frontend.Request, timeout time.Duration) frontend.RejectionCode {
	maxDuration := maxWait(timeout)
	switch {
	case request.MemoryKB <= 0 || request.MemoryKB >= maxMemoryKB,
		request.Rank < 0 || request.Rank >= maxRank,
		request.Caller < 0 || request.Caller > maxCaller,
		request.Timeout > maxDuration || request.WorkHint > maxDuration:
		return frontend.OutOfRange
	}
	return ""
}
