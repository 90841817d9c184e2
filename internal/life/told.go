package life

import (
	"fmt"
	"hash/fnv"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/internal/facts"
	"lanewheel/internal/fault"
	"lanewheel/internal/keep"
)

// Tell reads the platform's configuration. The error is a fault.List with all that is wrong.
func Tell(path string) (keep.Config, error) {
	if path == "" {
		return keep.Config{}, fault.List{{File: "RELAY_CONFIG", Want: "is not set; wants the path of a configuration"}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return keep.Config{}, fault.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	told, faults := parse(path, text)
	return told, faults.Err()
}

func parse(path string, text []byte) (told keep.Config, faults fault.List) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return told, fault.List{{File: path, Want: err.Error()}}
	}
	var lines map[string]int // worked out once something is wrong
	wrong := func(name, want string) {
		if lines == nil {
			lines, _ = fault.JSONLines(text)
		}
		value := ""
		if at := v.Get(strings.Split(name, ".")...); at != nil && at.Type() != fastjson.TypeObject {
			value = strings.Trim(at.String(), `"`)
		}
		line, above := lines[name], name
		for line == 0 && strings.Contains(above, ".") { // what is not there is told with the line of what it is missing in
			above = above[:strings.LastIndexByte(above, '.')]
			line = lines[above]
		}
		faults = append(faults, fault.Fault{File: path, Line: line, Name: name, Value: value, Want: want})
	}
	for _, text := range []struct {
		name string
		to   *string
		may  bool // be absent, null or empty: there is no such party
	}{{"name", &told.Name, false}, {"listen", &told.ListenAddr, false}, {"runtime", &told.RuntimeAddr, false}, {"db", &told.DatabaseAddr, true},
		{"roster", &told.RegistryAddr, true}} {
		at := v.Get(text.name)
		*text.to = string(v.GetStringBytes(text.name))
		if *text.to == "" && (!text.may || at != nil && at.Type() != fastjson.TypeNull && at.Type() != fastjson.TypeString) {
			wrong(text.name, "wants text")
		}
	}
	for _, limit := range []struct {
		name string
		to   *float64
	}{{"cores", &told.Cores}, {"memory_mb", &told.MemoryMB}} {
		if *limit.to = v.GetFloat64("limits", limit.name); *limit.to <= 0 {
			wrong("limits."+limit.name, "wants a number over 0")
		}
	}
	if told.MaxDescriptors = v.GetInt("limits", "sockets"); told.MaxDescriptors < 32 {
		wrong("limits.sockets", "wants a number of 32 or more")
	}
	told.TerminationGrace = time.Duration(v.GetFloat64("stop_ms") * float64(time.Millisecond))
	seed := string(v.GetStringBytes("seed"))
	if told.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		h := fnv.New64a()
		h.Write([]byte(seed))
		told.Seed = h.Sum64()
	}
	settings := v.Get("settings")
	if settings == nil {
		wrong("settings", "wants an object")
		return told, faults
	}
	var bad []facts.Wrong
	if told.Settings, bad = facts.Check(settings); len(bad) > 0 {
		for _, w := range bad {
			wrong("settings."+strings.Join(w.Path, "."), w.Want)
		}
	}
	// Danger: customers whose ops call nothing, or whose calls end at this tier, have no database and are told of none: their instances have to start.
	// Where calls go somewhere the address is needed, and a configuration without it is cut short.
	if below, _ := told.Settings["below"].(string); told.DatabaseAddr == "" && below != "" && below != "none" && len(faults) == 0 {
		wrong("db", fmt.Sprintf("wants text, as calls go to what settings.domain.below tells of (%s)", below))
	}
	told.GaugeNames = facts.Gauges(settings)
	told.ReportReadiness = settings.GetBool("domain", "readiness")
	return told, faults
}
