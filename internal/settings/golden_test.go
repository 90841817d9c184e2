package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
)

func readGolden(t *testing.T) *fastjson.Value {
	t.Helper()
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	return fastjson.MustParseBytes(text)
}

// Checks that each setting is read by its name on the wire and gets the expected value.
func TestGoldenSettings(t *testing.T) {
	want := goldenSettings()
	got, problems := Parse(readGolden(t))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	gotFields, wantFields := reflect.ValueOf(got), reflect.ValueOf(want)
	for i := range wantFields.NumField() {
		name := wantFields.Type().Field(i).Name
		if read, wanted := gotFields.Field(i).Interface(), wantFields.Field(i).Interface(); !reflect.DeepEqual(read, wanted) {
			t.Errorf("%s = %v, want %v", name, read, wanted)
		}
		if wantFields.Field(i).IsZero() {
			t.Errorf("the test has no value for %s", name)
		}
	}
	// The two lists with one value per class are instance settings on the wire, but fields of ClassSettings.
	if wantCount := wantFields.NumField() + 2; len(instanceFields) != wantCount {
		t.Errorf("%d instance settings, want %d", len(instanceFields), wantCount)
	}
	if wantCount := reflect.TypeFor[admission.ClassSettings]().NumField() - 2; len(classFields) != wantCount {
		t.Errorf("%d class settings, want %d", len(classFields), wantCount)
	}
	if wantCount := reflect.TypeFor[admission.TenantSettings]().NumField(); len(tenantFields) != wantCount {
		t.Errorf("%d tenant settings, want %d", len(tenantFields), wantCount)
	}
}

// goldenSettings returns the settings in testdata/settings.json.
func goldenSettings() admission.Settings {
	const ms = time.Millisecond
	return admission.Settings{
		Classes: []admission.ClassSettings{
			{
				Name: "view", Weight: 1.5, LatencyObjective: 300 * ms, ObjectivePerWork: 2.5, Timeout: 1250 * ms,
				LateValue: 0.2, IdempotencyWindow: 5 * time.Second, Idempotency: admission.Idempotent,
				CallsUpstream: true, SkippedCallValue: 0.25,
			},
			{
				Name: "pay", Weight: 2, LatencyObjective: 400 * ms, ObjectivePerWork: 3, Timeout: 2 * time.Second,
				LateValue: 0.1, IdempotencyWindow: 500 * ms, Idempotency: admission.IdempotentByKey,
				CallsUpstream: false, SkippedCallValue: 0.5,
			},
			{
				Name: "list", Weight: 3, LatencyObjective: 500 * ms, ObjectivePerWork: 4, Timeout: 3 * time.Second,
				LateValue: 0.3, IdempotencyWindow: 250 * ms, Idempotency: admission.NotIdempotent,
				CallsUpstream: true, SkippedCallValue: 0.75,
			},
		},
		Tenants: []admission.TenantSettings{
			{Name: "acme", QuotaPerSecond: 9, Share: 0.7},
			{Name: "beta", QuotaPerSecond: 5, Share: 0.3},
		},
		RetriesMarked:         true,
		Upstream:              admission.UpstreamShared,
		UpstreamWindow:        5 * time.Second,
		UpstreamShare:         0.8,
		Callers:               7,
		Cores:                 2,
		JustStarted:           true,
		CoalescedReadWindow:   200 * ms,
		Halt:                  admission.HaltDrop,
		CancellationsSeen:     true,
		LoadSignalLifetime:    time.Second,
		MaxIdleTimeout:        30 * time.Second,
		RecordKB:              1.5,
		TimedOutCallLinger:    150 * ms,
		MemoryKB:              1900,
		RunMemoryFactor:       4,
		LoadSignal:            admission.LoadSignalLeastRank,
		FleetSize:             3,
		OverQuotaWeight:       0.1,
		MaxRetryAfter:         1750 * ms,
		RetryAfterAllowed:     true,
		DrainGrace:            500 * ms,
		SurvivableRunsPerCore: 8,
		OverloadTolerance:     2 * time.Second,
		WarmUpSpeedShare:      0.3,
		WarmUp:                6 * time.Second,
		Tick:                  2 * ms,
		Tier:                  2,
	}
}

func TestGoldenGauges(t *testing.T) {
	want := []admission.Gauge{
		admission.GaugeBusyCores, admission.GaugeRunnable, admission.GaugeUsedMemory, admission.GaugeConnections,
		"other",
	}
	if got := GaugeNames(readGolden(t)); !reflect.DeepEqual(got, want) {
		t.Errorf("gauges = %q, want %q", got, want)
	}
}

// Checks each name of an enumeration value, and an unknown name.
func TestGoldenEnumerationNames(t *testing.T) {
	for _, tc := range []struct {
		name, value string
		want        admission.Settings
	}{
		{"below", "common", admission.Settings{Upstream: admission.UpstreamShared}},
		{"below", "shared", admission.Settings{Upstream: admission.UpstreamShared}},
		{"below", "next_hop", admission.Settings{Upstream: admission.UpstreamNextTier}},
		{"below", "next tier", admission.Settings{Upstream: admission.UpstreamNextTier}},
		{"below", "silent", admission.Settings{Upstream: admission.UpstreamNone}},
		{"below", "none", admission.Settings{Upstream: admission.UpstreamNone}},
		{"below", "", admission.Settings{Upstream: admission.UpstreamUnspecified}},
		{"below", "other", admission.Settings{Upstream: admission.UpstreamUnknown}},
		{"halt", "silent", admission.Settings{Halt: admission.HaltNone}},
		{"halt", "drop", admission.Settings{Halt: admission.HaltDrop}},
		{"halt", "pause", admission.Settings{Halt: admission.HaltPause}},
		{"halt", "other", admission.Settings{Halt: admission.HaltNone}},
		{"signal", "min_rank", admission.Settings{LoadSignal: admission.LoadSignalLeastRank}},
		{"signal", "least rank", admission.Settings{LoadSignal: admission.LoadSignalLeastRank}},
		{"signal", "bias", admission.Settings{LoadSignal: admission.LoadSignalChance}},
		{"signal", "chance", admission.Settings{LoadSignal: admission.LoadSignalChance}},
		{"signal", "silent", admission.Settings{LoadSignal: admission.LoadSignalNone}},
		{"signal", "tokens", admission.Settings{LoadSignal: admission.LoadSignalTokens}},
		{"signal", "other", admission.Settings{LoadSignal: admission.LoadSignalNone}},
	} {
		got, _ := Parse(fastjson.MustParse(`{"domain":{"` + tc.name + `":"` + tc.value + `"}}`))
		if !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s %q: settings = %+v, want %+v", tc.name, tc.value, got, tc.want)
		}
	}
	for value, want := range map[string]admission.Idempotency{
		"idempotent":   admission.Idempotent,
		"retryable":    admission.Idempotent,
		"deduplicated": admission.IdempotentByKey,
		"keyed":        admission.IdempotentByKey,
		"at_most_once": admission.NotIdempotent,
		"other":        admission.NotIdempotent,
	} {
		got, _ := Parse(fastjson.MustParse(`{"classes":[{"name":"view","repeat":"` + value + `"}]}`))
		if len(got.Classes) != 1 || got.Classes[0].Idempotency != want {
			t.Errorf("repeat %q: classes = %+v, want %v", value, got.Classes, want)
		}
	}
}

// Checks the defaults for durations that are missing or too short, and that shares are limited to their range.
func TestGoldenDefaults(t *testing.T) {
	got, problems := Parse(fastjson.MustParse(`{"classes":[{"name":"none"},{"name":"target","promise-s":0.4},
		{"name":"timeout","give-up-s":2},{"name":"short","promise-s":0.0001,"give-up-s":0.0002}],
		"domain":{"cpus":1},"rules":{"start-capacity":7}}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	const ms = time.Millisecond
	want := admission.Settings{Cores: 1, WarmUpSpeedShare: 1, Classes: []admission.ClassSettings{
		{Name: "none", LatencyObjective: 1000 * ms, Timeout: 1000 * ms},
		{Name: "target", LatencyObjective: 400 * ms, Timeout: 400 * ms},
		{Name: "timeout", LatencyObjective: 2000 * ms, Timeout: 2000 * ms},
		{Name: "short", LatencyObjective: 1000 * ms, Timeout: 1000 * ms},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Errors name the settings by their paths on the wire.
func TestGoldenPaths(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{`{}`, "domain.cpus classes"},
		{`{"domain":{"cpus":0},"classes":[]}`, "domain.cpus classes"},
		{`{"domain":{"cpus":1},"classes":[{"name":"a"},{}]}`, "classes.1.name"},
		{`{"domain":{"cpus":"x"},"classes":[{"name":"a","credit":"x"}],"rules":{"warm-within-s":true}}`,
			"classes.0.credit domain.cpus rules.warm-within-s"},
	} {
		_, problems := Parse(fastjson.MustParse(tc.text))
		var paths []string
		for _, problem := range problems {
			paths = append(paths, strings.Join(problem.Path, "."))
		}
		if got := strings.Join(paths, " "); got != tc.want {
			t.Errorf("%s: errors at %q, want %q", tc.text, got, tc.want)
		}
	}
}
