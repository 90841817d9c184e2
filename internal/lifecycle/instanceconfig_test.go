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

// Each field of an instance's configuration is read by its stored name. The settings have a golden file of their own,
// next to the package that reads them.
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
		GaugeNames: []admission.Gauge{
			admission.GaugeBusyCores, admission.GaugeRunnable, admission.GaugeUsedMemory, admission.GaugeConnections,
		},
		ReportReadiness: true,
	}
	for _, tc := range []struct {
		name, before, after string
		seed                uint64
	}{
		{"unchanged", "", "", want.Seed},
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
	// Each missing required field is reported by its stored name.
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

// A diagnostic names the setting that is invalid, the database address that is missing although the settings require
// upstream calls, or RELAY_CONFIG if it is not set.
func TestConfigurationDiagnostics(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	_, diagnostics := parseConfig("config.json", []byte(strings.Replace(string(text), `"db"`, `"was-db"`, 1)))
	if len(diagnostics) != 1 || diagnostics[0].Name != "db" {
		t.Errorf("without a database: %v, want db", diagnostics)
	}
	without := strings.NewReplacer(`"db"`, `"was-db"`, `"next_hop"`, `"silent"`, `"roster"`, `"was-roster"`)
	if _, diagnostics = parseConfig("config.json", []byte(without.Replace(string(text)))); len(diagnostics) > 0 {
		t.Errorf("no upstream calls and no registry: %v", diagnostics)
	}
	broken := strings.Replace(string(text), `"cpus":2`, `"cpus":"two"`, 1)
	_, diagnostics = parseConfig("config.json", []byte(broken))
	if len(diagnostics) != 1 || diagnostics[0].Name != "settings.domain.cpus" || diagnostics[0].Line != 6 {
		t.Errorf("an invalid setting: %v, want settings.domain.cpus in line 6", diagnostics)
	}
	var list diagnostic.List
	if _, err = LoadConfig(""); !errors.As(err, &list) || len(list) != 1 || list[0].File != "RELAY_CONFIG" {
		t.Errorf("no path: %v, want RELAY_CONFIG", err)
	}
}
