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

// Each setting that is known, by its stored name, and what it is read as.
func TestGoldenSettings(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	stored := fastjson.MustParseBytes(text)
	got, problems := ParseAll(stored)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	const ms = time.Millisecond
	want := admission.Settings{
		"op types": []admission.Settings{
			{"name": "view", "importance": 1.5, "target latency": 300 * ms, "target stretch": 2.5, "op timeout": 1250 * ms,
				"late share": 0.2, "repeat window": 5 * time.Second, "repeats": "retryable"},
			{"name": "pay", "importance": 2.0, "target latency": 400 * ms, "target stretch": 3.0, "op timeout": 2 * time.Second,
				"late share": 0.1, "repeat window": 500 * ms, "repeats": "keyed"},
			{"name": "list", "importance": 3.0, "target latency": 500 * ms, "target stretch": 4.0, "op timeout": 3 * time.Second,
				"late share": 0.3, "repeat window": 250 * ms, "repeats": "non-retryable"},
		},
		"tenants": []admission.Settings{
			{"name": "acme", "quota a second": 9.0, "share": 0.7},
			{"name": "beta", "quota a second": 5.0, "share": 0.3},
		},
		"tries are marked":         true,
		"below":                    "shared",
		"calls over":               5 * time.Second,
		"call share":               0.8,
		"calls below by type":      []bool{true, false, true},
		"skip share by type":       []float64{0.25, 0.5, 0.75},
		"callers":                  7.0,
		"cores":                    2.0,
		"just started":             true,
		"shared reads for":         200 * ms,
		"halt":                     "drop",
		"hears when callers leave": true,
		"signal heard for":         time.Second,
		"connections idle":         30 * time.Second,
		"key KB":                   1.5,
		"given-up call lingers":    150 * ms,
		"memory KB":                1900.0,
		"run memory factor":        4.0,
		"signal":                   "least rank",
		"fleet size":               3.0,
		"over-share importance":    0.1,
		"longest stay away":        1750 * ms,
		"stay away is passed on":   true,
		"drain grace":              500 * ms,
		"crowd a core":             8.0,
		"crowd over":               2 * time.Second,
		"cold speed share":         0.3,
		"warm within":              6 * time.Second,
		"tick":                     2 * ms,
		"tier":                     2.0,
	}
	for name, value := range want {
		if !reflect.DeepEqual(got[name], value) {
			t.Errorf("%s is read as %v, want %v", name, got[name], value)
		}
	}
	if len(got) != len(want) || len(got) != len(instanceSettings) {
		t.Errorf("%d settings are read, %d are known, want %d", len(got), len(instanceSettings), len(want))
	}
	for i, item := range want["op types"].([]admission.Settings) {
		if len(item) != len(classSettings) {
			t.Errorf("class %d has %d settings, %d are known", i, len(item), len(classSettings))
		}
	}
	for i, item := range want["tenants"].([]admission.Settings) {
		if len(item) != len(tenantSettings) {
			t.Errorf("tenant %d has %d settings, %d are known", i, len(item), len(tenantSettings))
		}
	}
	gauges := []string{"cores busy", "want a core", "memory used", "connections", "other"}
	if got := GaugeNames(stored); !reflect.DeepEqual(got, gauges) {
		t.Errorf("gauges are read as %q, want %q", got, gauges)
	}
}

// Each word that a setting may have. One that is not known stays as it is.
func TestGoldenWords(t *testing.T) {
	for _, tc := range []struct{ name, word, ours, want string }{
		{"below", "common", "below", "shared"}, {"below", "next_hop", "below", "next tier"},
		{"below", "silent", "below", "none"},
		{"below", "other", "below", "other"},
		{"halt", "silent", "halt", "none"}, {"halt", "drop", "halt", "drop"},
		{"signal", "min_rank", "signal", "least rank"}, {"signal", "bias", "signal", "chance"},
		{"signal", "silent", "signal", "none"},
		{"signal", "tokens", "signal", "tokens"},
	} {
		got, _ := ParseAll(fastjson.MustParse(`{"domain":{"` + tc.name + `":"` + tc.word + `"}}`))
		if got[tc.ours] != tc.want {
			t.Errorf("%s %q is read as %v, want %q", tc.name, tc.word, got[tc.ours], tc.want)
		}
	}
	for word, want := range map[string]string{
		"idempotent": "retryable", "deduplicated": "keyed", "at_most_once": "non-retryable",
	} {
		got, _ := ParseAll(fastjson.MustParse(`{"classes":[{"name":"view","repeat":"` + word + `"}]}`))
		if types, _ := got["op types"].([]admission.Settings); len(types) != 1 || types[0]["repeats"] != want {
			t.Errorf("repeat %q is read as %v, want %q", word, got["op types"], want)
		}
	}
}

// What stands in for times that are absent or too short to mean anything, and for shares past their ends.
func TestGoldenDefaults(t *testing.T) {
	got, wrong := ParseAll(fastjson.MustParse(`{"classes":[{"name":"none"},{"name":"target","promise-s":0.4},
		{"name":"timeout","give-up-s":2},{"name":"short","promise-s":0.0001,"give-up-s":0.0002}],
		"domain":{"cpus":1},"rules":{"start-capacity":7}}`))
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	const ms = time.Millisecond
	want := admission.Settings{"cores": 1.0, "cold speed share": 1.0, "op types": []admission.Settings{
		{"name": "none", "target latency": 1000 * ms, "op timeout": 1000 * ms},
		{"name": "target", "target latency": 400 * ms, "op timeout": 400 * ms},
		{"name": "timeout", "target latency": 2000 * ms, "op timeout": 2000 * ms},
		{"name": "short", "target latency": 1000 * ms, "op timeout": 1000 * ms},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %v, want %v", got, want)
	}
}

// What is wrong is named by where it is stored.
func TestGoldenPaths(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{`{}`, "domain.cpus classes"},
		{`{"domain":{"cpus":0},"classes":[]}`, "domain.cpus classes"},
		{`{"domain":{"cpus":1},"classes":[{"name":"a"},{}]}`, "classes.1.name"},
		{`{"domain":{"cpus":"x"},"classes":[{"name":"a","credit":"x"}],"rules":{"warm-within-s":true}}`,
			"classes.0.credit domain.cpus rules.warm-within-s"},
	} {
		_, wrong := ParseAll(fastjson.MustParse(tc.text))
		var paths []string
		for _, w := range wrong {
			paths = append(paths, strings.Join(w.Path, "."))
		}
		if got := strings.Join(paths, " "); got != tc.want {
			t.Errorf("%s: wrong are %q, want %q", tc.text, got, tc.want)
		}
	}
}
