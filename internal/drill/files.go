package drill

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"lanewheel/internal/config"
	"lanewheel/internal/fake"
)

// settingsReplacer fills in the placeholders of fake.Settings, and raises the limits of memory and of calls to a
// dependency, so that a process can take the load of a drill.
var settingsReplacer = strings.NewReplacer(
	"IDLE", "30",
	"FRESH", "0",
	`"memory-kb":1900`, `"memory-kb":190000`,
	`"dep-share":8,`, `"dep-share":800,`,
)

// iniText builds the text of an operator's file.
type iniText struct{ strings.Builder }

// section writes the header of a section and its settings.
func (t *iniText) section(name string, settings []config.Setting) {
	t.WriteString("[" + name + "]\n")
	t.settings(settings)
}

func (t *iniText) settings(settings []config.Setting) {
	for _, setting := range settings {
		t.set(setting.Name, "%s", setting.Value)
	}
}

func (t *iniText) set(name, format string, values ...any) {
	t.WriteString(name + " = " + fmt.Sprintf(format, values...) + "\n")
}

// writeFiles writes the configuration and key files of the process to its directory.
func (p *process) writeFiles() error {
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	var keys strings.Builder
	for _, number := range p.keyNumbers {
		keys.WriteString(p.cluster.keys[number-1] + "\n")
	}
	for name, text := range map[string]string{
		"config.json": p.platformText(),
		"fleet.ini":   p.operatorText(),
		"keys":        keys.String(),
	} {
		if err := os.WriteFile(p.path(name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// platformText returns the text of the platform's configuration file.
func (p *process) platformText() string {
	c := p.cluster
	return fmt.Sprintf(`{"name":%q,"listen":"%s:%d","runtime":%q,"roster":%q,"db":%q,"seed":"%x","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":%g,"sockets":512},"settings":%s}`,
		p.name, p.host, clientPort, p.runtime.Addr(), c.registry.Addr(), c.database.Addr(),
		c.script.RandomSeed+uint64(p.index), c.script.MaxMemoryMB, settingsReplacer.Replace(fake.Settings))
}

// operatorText returns the text of the operator's file.
func (p *process) operatorText() string {
	script := p.cluster.script
	var text iniText
	switch p.role {
	case roleProxy:
		text.section("proxy", script.ProxySettings)
	case roleCoordinator:
		p.writeCoordinatorSection(&text)
	case roleAllocator:
		text.section("allocator", script.AllocatorSettings)
		text.set("lock-file", "%s", filepath.Join(p.cluster.dir, p.name+".lock"))
	case roleInstance:
		if script.Allocators > 0 {
			text.section("upstream", script.UpstreamSettings)
		}
		if script.SpilloverEnabled {
			text.section("spillover", script.SpilloverSettings)
		}
	}
	p.writeFleetSection(&text)
	return text.String()
}

func (p *process) writeCoordinatorSection(text *iniText) {
	var coordinators []string
	for _, other := range p.cluster.processes {
		if other.role == roleCoordinator {
			coordinators = append(coordinators, fmt.Sprintf("%s:%d", other.frontHost, coordinatorPort))
		}
	}
	text.section("coordinator", p.cluster.script.CoordinatorSettings)
	text.set("listen", "%s:%d", p.host, coordinatorPort)
	text.set("advertise", "%s:%d", p.frontHost, coordinatorPort)
	text.set("coordinators", "%s", strings.Join(coordinators, ", "))
	text.set("data-dir", "log.d")
	text.set("restart-command", "%s drill-hook %s {name} {release}", p.cluster.binary, p.cluster.hookPath())
}

func (p *process) writeFleetSection(text *iniText) {
	script := p.cluster.script
	var seeds []string
	for _, other := range p.cluster.processes[:p.seedCount] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.frontHost, gossipPort))
	}
	text.section("fleet", nil)
	text.set("listen", "%s:%d", p.host, gossipPort)
	text.set("advertise", "%s:%d", p.frontHost, gossipPort)
	text.set("seeds", "%s", strings.Join(seeds, ", "))
	text.set("zone", "%s", zoneOf(script, p.index))
	text.set("release", "%s", p.currentRelease())
	text.set("key-file", "keys")
	text.set("status-socket", "w")
	if script.Coordinators > 0 {
		text.set("require-permit", "yes")
	}
	switch p.role {
	case roleCoordinator:
		text.set("name", "%s", p.name)
	case roleAllocator:
		text.set("name", "%s", p.name)
		text.set("service-address", "%s", p.service.address())
	case roleInstance:
		text.set("service-address", "%s:%d", p.frontHost, clientPort)
	case roleProxy:
	}
	text.settings(script.FleetSettings)
}

func (p *process) currentRelease() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.release
}
