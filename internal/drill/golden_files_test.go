package drill

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lanewheel/internal/config"
	"lanewheel/internal/fake"
	"lanewheel/internal/goldentest"
)

// newTestCluster returns the cluster of a script, with the fakes and without links. It starts no process.
func newTestCluster(t *testing.T, script *config.Drill) *cluster {
	t.Helper()
	c := &cluster{
		script:   script,
		binary:   "/bin/lanewheel",
		dir:      t.TempDir(),
		database: fake.NewDatabase(),
		registry: fake.NewRegistry(),
		keys:     []string{"key-1", "key-2"},
	}
	l := layoutOf(script)
	for i := range l.end {
		p := &process{
			cluster:    c,
			index:      i,
			name:       fmt.Sprintf("p%03d", i),
			host:       fmt.Sprintf("127.64.0.%d", i+1),
			frontHost:  fmt.Sprintf("127.128.0.%d", i+1),
			runtime:    fake.NewRuntime(),
			keyNumbers: []int{2, 1},
			seedCount:  script.SeedMembers,
			release:    releaseOf(script, i),
		}
		p.dir = filepath.Join(c.dir, p.name)
		switch {
		case i >= l.coordinators:
			p.role = roleCoordinator
		case i >= l.allocators:
			p.role = roleAllocator
			p.service = fake.Must(newFakeService(p.name, script))
		case i >= l.proxies:
			p.role = roleProxy
		}
		c.processes = append(c.processes, p)
	}
	return c
}

// TestGoldenFiles checks the files that a process of each role reads. Addresses that the system has assigned and the
// settings of the fakes are replaced by placeholders.
func TestGoldenFiles(t *testing.T) {
	script, err := config.LoadDrill("testdata/everything.ini")
	if err != nil {
		t.Fatal(err)
	}
	c := newTestCluster(t, &script)
	l := layoutOf(&script)
	var text bytes.Buffer
	for _, index := range []int{0, l.proxies, l.allocators, l.end - 1} {
		p := c.processes[index]
		if err := p.writeFiles(); err != nil {
			t.Fatal(err)
		}
		names := []string{
			settingsReplacer.Replace(fake.Settings), "SETTINGS",
			c.dir, "DIR",
			p.runtime.Addr(), "RUNTIME",
			c.registry.Addr(), "REGISTRY",
			c.database.Addr(), "DATABASE",
		}
		if p.service != nil {
			names = append(names, p.service.address(), "SERVICE")
		}
		for _, name := range []string{"config.json", "fleet.ini", "keys"} {
			file, err := os.ReadFile(p.path(name))
			if err != nil {
				t.Fatal(err)
			}
			if name == "fleet.ini" {
				checkNoRenamedTerms(t, p.name, file)
			}
			fmt.Fprintf(&text, "# %s %s\n%s\n", p.name, name, strings.NewReplacer(names...).Replace(string(file)))
		}
	}
	goldentest.CheckText(t, "testdata/files.txt", text.Bytes())
}

// checkNoRenamedTerms checks that an operator's file uses no renamed terms, because each process would log a warning
// for them.
func checkNoRenamedTerms(t *testing.T, name string, file []byte) {
	t.Helper()
	operator, err := config.Parse("fleet.ini", file)
	if err != nil || len(operator.Renamed) > 0 {
		t.Errorf("%s: renamed terms %q, error %v", name, operator.Renamed, err)
	}
}

// TestSettingsReplacer checks that each text that settingsReplacer replaces occurs in the settings of the fakes.
func TestSettingsReplacer(t *testing.T) {
	settings := settingsReplacer.Replace(fake.Settings)
	for _, want := range []string{`"memory-kb":190000`, `"dep-share":800,`} {
		if !strings.Contains(settings, want) {
			t.Errorf("%s is missing in %s", want, settings)
		}
	}
	if strings.Contains(settings, "IDLE") || strings.Contains(settings, "FRESH") {
		t.Error(settings)
	}
}
