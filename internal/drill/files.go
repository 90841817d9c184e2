package drill

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"lanewheel/internal/fake"
)

// writeFiles makes the folder of a process with all that it reads.
func (w *cluster) writeFiles(p *process) error {
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	settings := strings.NewReplacer("IDLE", "30", "FRESH", "0", `"memory-kb":1900`, `"memory-kb":190000`, `"dep-share":8,`, `"dep-share":800,`).Replace(fake.Settings)
	platform := fmt.Sprintf(`{"name":%q,"listen":"%s:%d","runtime":%q,"roster":%q,"db":%q,"seed":"%x","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":%g,"sockets":512},"settings":%s}`, p.name, p.host, clientPort, p.runtime.Addr(), w.registry.Addr(), w.database.Addr(),
		w.script.RandomSeed+uint64(p.index), w.script.MaxMemoryMB, settings)
	var seeds []string
	for _, other := range w.processes[:p.seedCount] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.frontHost, gossipPort))
	}
	var operatorINI string
	fleetSection := fmt.Sprintf("[fleet]\nlisten = %s:%d\nadvertise = %s:%d\nseeds = %s\nzone = %s\nrelease = %s\nkeys = keys\nwatch = w\n",
		p.host, gossipPort, p.frontHost, gossipPort, strings.Join(seeds, ", "), zoneOf(w.script, p.index), p.release)
	if w.script.Coordinators > 0 {
		fleetSection += "permits = yes\n"
	}
	section := func(name string, pairs [][2]string) {
		operatorINI += "[" + name + "]\n"
		for _, setting := range pairs {
			operatorINI += setting[0] + " = " + setting[1] + "\n"
		}
	}
	switch {
	case p.isProxy:
		section("relay", w.script.ProxySettings)
	case p.isCoordinator:
		section("steward", w.script.CoordinatorSettings)
		var coordinators []string
		for _, other := range w.processes {
			if other.isCoordinator {
				coordinators = append(coordinators, fmt.Sprintf("%s:%d", other.frontHost, coordinatorPort))
			}
		}
		operatorINI += fmt.Sprintf("listen = %s:%d\nat = %s:%d\nstewards = %s\nfolder = log.d\nrestart = %s hook %s {name} {release}\n", p.host, coordinatorPort, p.frontHost, coordinatorPort, strings.Join(coordinators, ", "), w.binary, w.hookPath())
		fleetSection += fmt.Sprintf("name = %s\n", p.name)
	case p.service != nil:
		section("grants", w.script.AllocatorSettings)
		operatorINI += fmt.Sprintf("lock = %s\n", filepath.Join(w.dir, p.name+".lock"))
		fleetSection += fmt.Sprintf("name = %s\nserves = %s\n", p.name, p.service.address())
	default:
		if w.script.Allocators > 0 {
			section("below", w.script.UpstreamSettings)
		}
		if w.script.SpilloverEnabled {
			section("handover", w.script.SpilloverSettings)
		}
		fleetSection += fmt.Sprintf("serves = %s:%d\n", p.frontHost, clientPort)
	}
	operatorINI += fleetSection
	for _, setting := range w.script.FleetSettings {
		operatorINI += setting[0] + " = " + setting[1] + "\n"
	}
	var text string
	for _, number := range p.keyNumbers {
		text += w.keys[number-1] + "\n"
	}
	for name, text := range map[string]string{"config.json": platform, "fleet.ini": operatorINI, "keys": text} {
		if err := os.WriteFile(p.path(name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
