package server

import (
	"math"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
)

// durationSetting is a told time, 0 if none was told.
func durationSetting(settings admission.Settings, name string) time.Duration {
	value, _ := settings[name].(time.Duration)
	return value
}

// listSetting is a told list, empty if none was told.
func listSetting(settings admission.Settings, name string) []admission.Settings {
	values, _ := settings[name].([]admission.Settings)
	return values
}

// maxTimeouts is how many op timeouts no stub would wait, nor any op lie or work: one is many times an op's work.
const maxTimeouts = 10

// maxWait is that time for one op timeout. Where none was told, or a huge one, it is a day: no caller waits so long, and a hundred
// thousand of them still add up without overflow.
func maxWait(timeout time.Duration) time.Duration {
	const day = 24 * time.Hour
	if timeout <= 0 || timeout > day/maxTimeouts {
		return day
	}
	return maxTimeouts * timeout
}

// invalidReason tells what makes an ask one that could never be served, whatever else is here. Danger: the module would
// learn from figures that nobody meant, or reckon with such as overflow.
func (in *Server) invalidReason(request frontend.Request) string {
	timeout, known := in.timeouts[admission.Class(request.Class)]
	switch {
	case !known:
		return "unknown-type"
	case len(in.tenants) > 0 && !in.tenants[admission.TenantID(request.Tenant)]:
		return "unknown-tenant"
	case request.MemoryKB <= 0 || request.MemoryKB >= 2000 || request.Rank < 0 || request.Rank >= 1 || request.Caller < 0 || request.Caller > math.MaxInt32:
		return "out-of-range"
	case request.Timeout > maxWait(timeout) || request.WorkHint > maxWait(timeout):
		return "out-of-range"
	}
	return ""
}
