package lifecycle

import (
	"fmt"
	"hash/fnv"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/server"
	"lanewheel/internal/settings"
)

// LoadConfig reads the platform's configuration. The error is a fault.List with all that is wrong.
func LoadConfig(path string) (server.Config, error) {
	if path == "" {
		return server.Config{}, diagnostic.List{{File: "RELAY_CONFIG", Want: "is not set; wants the path of a configuration"}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return server.Config{}, diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	config, diagnostics := parseConfig(path, text)
	return config, diagnostics.Err()
}

func parseConfig(path string, text []byte) (config server.Config, diagnostics diagnostic.List) {
	root, err := fastjson.ParseBytes(text)
	if err != nil {
		return config, diagnostic.List{{File: path, Want: err.Error()}}
	}
	var lines map[string]int // worked out once something is wrong
	report := func(name, want string) {
		if lines == nil {
			lines, _ = diagnostic.JSONLines(text)
		}
		value := ""
		if found := root.Get(strings.Split(name, ".")...); found != nil && found.Type() != fastjson.TypeObject {
			value = strings.Trim(found.String(), `"`)
		}
		line, ancestor := lines[name], name
		for line == 0 && strings.Contains(ancestor, ".") { // what is not there is told with the line of what it is missing in
			ancestor = ancestor[:strings.LastIndexByte(ancestor, '.')]
			line = lines[ancestor]
		}
		diagnostics = append(diagnostics, diagnostic.Diagnostic{File: path, Line: line, Name: name, Value: value, Want: want})
	}
	for _, text := range []struct {
		name string
		to   *string
		may  bool // be absent, null or empty: there is no such party
	}{{"name", &config.Name, false}, {"listen", &config.ListenAddr, false}, {"runtime", &config.RuntimeAddr, false}, {"db", &config.DatabaseAddr, true},
		{"roster", &config.RegistryAddr, true}} {
		found := root.Get(text.name)
		*text.to = string(root.GetStringBytes(text.name))
		if *text.to == "" && (!text.may || found != nil && found.Type() != fastjson.TypeNull && found.Type() != fastjson.TypeString) {
			report(text.name, "wants text")
		}
	}
	for _, limit := range []struct {
		name string
		to   *float64
	}{{"cores", &config.Cores}, {"memory_mb", &config.MemoryMB}} {
		if *limit.to = root.GetFloat64("limits", limit.name); *limit.to <= 0 {
			report("limits."+limit.name, "wants a number over 0")
		}
	}
	if config.MaxDescriptors = root.GetInt("limits", "sockets"); config.MaxDescriptors < 32 {
		report("limits.sockets", "wants a number of 32 or more")
	}
	config.TerminationGrace = time.Duration(root.GetFloat64("stop_ms") * float64(time.Millisecond))
	seed := string(root.GetStringBytes("seed"))
	if config.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		h := fnv.New64a()
		h.Write([]byte(seed))
		config.Seed = h.Sum64()
	}
	settingsObject := root.Get("settings")
	if settingsObject == nil {
		report("settings", "wants an object")
		return config, diagnostics
	}
	var problems []settings.FieldError
	if config.Settings, problems = settings.Parse(settingsObject); len(problems) > 0 {
		for _, problem := range problems {
			report("settings."+strings.Join(problem.Path, "."), problem.Want)
		}
	}
	// Danger: customers whose ops call nothing, or whose calls end at this tier, have no database and are told of none: their instances have to start.
	// Where calls go somewhere the address is needed, and a configuration without it is cut short.
	upstream := config.Settings.Upstream
	calls := upstream != admission.UpstreamUnspecified && upstream != admission.UpstreamNone
	if config.DatabaseAddr == "" && calls && len(diagnostics) == 0 {
		name := upstream.String()
		if upstream == admission.UpstreamUnknown {
			name = string(settingsObject.GetStringBytes("domain", "below"))
		}
		report("db", fmt.Sprintf("wants text, as calls go to what settings.domain.below tells of (%s)", name))
	}
	config.GaugeNames = settings.GaugeNames(settingsObject)
	config.ReportReadiness = settingsObject.GetBool("domain", "readiness")
	return config, diagnostics
}
