package lifecycle

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/server"
)

// Each field of an instance's configuration, by its stored name, and what it is read as. The settings have a file of
// their own, beside the package that reads them.
func TestGoldenConfiguration(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	const ms = time.Millisecond
	want := server.Config{
		Name:             "instance-1",
		ListenAddr:       "127.0.0.1:1",
		RuntimeAddr:      "127.0.0.1:2",
		DatabaseAddr:     "127.0.0.1:3",
		RegistryAddr:     "127.0.0.1:4",
		Seed:             0x8c1f30d27a5be964,
		TerminationGrace: 1500*ms + 500*time.Microsecond,
		MaxDescriptors:   64,
		MemoryMB:         192.25,
		Cores:            1.5,
		Settings: admission.Settings{
			Classes: []admission.ClassSettings{
				{Name: "view", Weight: 1.5, LatencyObjective: 300 * ms, Timeout: 1250 * ms, Idempotency: admission.Idempotent},
			},
			Tenants:       []admission.TenantSettings{{Name: "acme", QuotaPerSecond: 9.0, Share: 0.7}},
			Upstream:      admission.UpstreamNextTier,
			Cores:         2.0,
			MaxRetryAfter: 1750 * ms,
			Tick:          2 * ms,
		},
		GaugeNames:      []admission.Gauge{admission.GaugeBusyCores, admission.GaugeRunnable, admission.GaugeUsedMemory, admission.GaugeConnections},
		ReportReadiness: true,
	}
	for _, tc := range []struct {
		name, before, after string
		seed                uint64
	}{
		{"as it is", "", "", want.Seed},
		{"a seed that is not hexadecimal is hashed", "8c1f30d27a5be964", "instance-1", 0x3ca7aed14d2daa34},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, diagnostics := parseConfig("config.json", []byte(strings.Replace(string(text), tc.before, tc.after, 1)))
			if len(diagnostics) > 0 {
				t.Fatal(diagnostics)
			}
			want := want
			want.Seed = tc.seed
			if !reflect.DeepEqual(got, want) {
				t.Errorf("read as\n%+v, want\n%+v", got, want)
			}
		})
	}
	// All that is wanted is asked for by its stored name.
	_, diagnostics := parseConfig("config.json", []byte("{}"))
	var names []string
	for _, f := range diagnostics {
		names = append(names, f.Name)
	}
	if got, want := strings.Join(names, " "),
		"name listen runtime limits.cores limits.memory_mb limits.sockets settings"; got != want {
		t.Errorf("missing: %s, want %s", got, want)
	}
}

// A configuration that cannot be read is named, as is an address that is missing where calls go somewhere.
func TestGoldenPaths(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	_, faults := parseConfig("config.json", []byte(strings.Replace(string(text), `"db"`, `"was-db"`, 1)))
	if len(faults) != 1 || faults[0].Name != "db" {
		t.Errorf("without a database: %v, want db", faults)
	}
	without := strings.NewReplacer(`"db"`, `"was-db"`, `"next_hop"`, `"silent"`, `"roster"`, `"was-roster"`)
	if _, faults = parseConfig("config.json", []byte(without.Replace(string(text)))); len(faults) > 0 {
		t.Errorf("nothing below and no registry: %v", faults)
	}
	broken := strings.Replace(string(text), `"cpus":2`, `"cpus":"two"`, 1)
	_, faults = parseConfig("config.json", []byte(broken))
	if len(faults) != 1 || faults[0].Name != "settings.domain.cpus" || faults[0].Line != 6 {
		t.Errorf("a wrong setting: %v, want settings.domain.cpus in line 6", faults)
	}
	var list diagnostic.List
	if _, err = LoadConfig(""); !errors.As(err, &list) || len(list) != 1 || list[0].File != "RELAY_CONFIG" {
		t.Errorf("no path: %v, want RELAY_CONFIG", err)
	}
}
