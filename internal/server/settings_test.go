package server

import (
	"math"
	"testing"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/frontend"
)

func testSettings() serviceSettings {
	return newServiceSettings(admission.Settings{
		"cores":                  2.0,
		"tier":                   1.0,
		"shared reads for":       3 * time.Second,
		"connections idle":       4 * time.Second,
		"stay away is passed on": true,
		"longest stay away":      5 * time.Second,
		"op types": []admission.Settings{
			{"name": "view", "target latency": time.Second, "repeats": "retryable"},
			{"name": "pay", "target latency": time.Second, "op timeout": 2 * time.Second, "repeats": "keyed"},
			{"name": "other"},
		},
		"tenants": []admission.Settings{{"name": "t1"}},
	})
}

func TestServiceSettings(t *testing.T) {
	settings := testSettings()
	classes := map[admission.Class]classSettings{
		"view":  {timeout: time.Second, latencyObjective: time.Second, idempotent: true},
		"pay":   {timeout: 2 * time.Second, latencyObjective: time.Second, idempotentByKey: true},
		"other": {},
	}
	if len(settings.classes) != len(classes) {
		t.Errorf("%d classes", len(settings.classes))
	}
	for name, want := range classes {
		if got := settings.classes[name]; got != want {
			t.Errorf("class %s: %+v", name, got)
		}
	}
	if len(settings.tenants) != 1 || !settings.tenants["t1"] {
		t.Errorf("tenants: %v", settings.tenants)
	}
	settings.classes, settings.tenants = nil, nil
	want := serviceSettings{
		cores:               2,
		requestsAreCalls:    true,
		coalescedReadWindow: 3 * time.Second,
		idleTimeout:         4 * time.Second,
		retryAfterAllowed:   true,
		maxRetryAfter:       5 * time.Second,
	}
	if settings.cores != want.cores || settings.requestsAreCalls != want.requestsAreCalls ||
		settings.coalescedReadWindow != want.coalescedReadWindow || settings.idleTimeout != want.idleTimeout ||
		settings.retryAfterAllowed != want.retryAfterAllowed || settings.maxRetryAfter != want.maxRetryAfter {
		t.Errorf("%+v", settings)
	}
}

func TestCheck(t *testing.T) {
	settings := testSettings()
	tests := []struct {
		name   string
		change func(*frontend.Request)
		want   frontend.RejectionCode
	}{
		{"as it should be", func(*frontend.Request) {}, ""},
		{"class", func(r *frontend.Request) { r.Class = "none" }, frontend.UnknownClass},
		{"tenant", func(r *frontend.Request) { r.Tenant = "" }, frontend.UnknownTenant},
		{"class before tenant", func(r *frontend.Request) { r.Class, r.Tenant = "", "" }, frontend.UnknownClass},
		{"no memory", func(r *frontend.Request) { r.MemoryKB = 0 }, frontend.OutOfRange},
		{"most memory", func(r *frontend.Request) { r.MemoryKB = 1999 }, ""},
		{"too much memory", func(r *frontend.Request) { r.MemoryKB = 2000 }, frontend.OutOfRange},
		{"rank below", func(r *frontend.Request) { r.Rank = -0.1 }, frontend.OutOfRange},
		{"rank above", func(r *frontend.Request) { r.Rank = 1 }, frontend.OutOfRange},
		{"caller below", func(r *frontend.Request) { r.Caller = -1 }, frontend.OutOfRange},
		{"last caller", func(r *frontend.Request) { r.Caller = math.MaxInt32 }, ""},
		{"caller above", func(r *frontend.Request) { r.Caller = math.MaxInt32 + 1 }, frontend.OutOfRange},
		{"longest timeout", func(r *frontend.Request) { r.Timeout = 10 * time.Second }, ""},
		{"timeout", func(r *frontend.Request) { r.Timeout = 10*time.Second + 1 }, frontend.OutOfRange},
		{"work", func(r *frontend.Request) { r.WorkHint = 10*time.Second + 1 }, frontend.OutOfRange},
		{"work without a timeout", func(r *frontend.Request) { r.Class, r.WorkHint = "other", 24*time.Hour }, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := frontend.Request{Class: "view", Tenant: "t1", MemoryKB: 1}
			test.change(&request)
			if got := settings.check(&request); got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}
