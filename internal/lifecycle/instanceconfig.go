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

// minDescriptors is the lowest limit on file descriptors with which an instance works.
const minDescriptors = 32

// LoadConfig reads the platform's configuration of an instance. The error is a diagnostic.List of all problems.
func LoadConfig(path string) (server.Config, error) {
	if path == "" {
		return server.Config{}, diagnostic.List{
			{File: "RELAY_CONFIG", Want: "must be set to the path of a configuration file"},
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return server.Config{}, diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	config, diagnostics := parseConfig(path, text)
	return config, diagnostics.Err()
}

// parseConfig parses a configuration as far as possible and returns all problems with it.
func parseConfig(path string, text []byte) (server.Config, diagnostic.List) {
	root, err := fastjson.ParseBytes(text)
	if err != nil {
		return server.Config{}, diagnostic.List{{File: path, Want: err.Error()}}
	}
	parser := &configParser{path: path, text: text, root: root}
	parser.readAddresses()
	parser.readLimits()
	parser.readSeed()
	parser.readSettings()
	return parser.config, parser.diagnostics
}

// configParser parses one configuration.
type configParser struct {
	path        string
	text        []byte
	root        *fastjson.Value
	lines       map[string]int // line numbers by name; nil until a problem is reported
	config      server.Config
	diagnostics diagnostic.List
}

// report adds a diagnostic about the value with the given name. A value that is absent is reported with the line of the
// innermost object around it that is present.
func (p *configParser) report(name, want string) {
	if p.lines == nil {
		p.lines, _ = diagnostic.JSONLines(p.text) // duplicate names are not a problem here
	}
	value := ""
	found := p.root.Get(strings.Split(name, ".")...)
	if found != nil && found.Type() != fastjson.TypeObject {
		value = strings.Trim(found.String(), `"`)
	}
	line, ancestor := p.lines[name], name
	for line == 0 && strings.Contains(ancestor, ".") {
		ancestor = ancestor[:strings.LastIndexByte(ancestor, '.')]
		line = p.lines[ancestor]
	}
	p.diagnostics = append(p.diagnostics, diagnostic.Diagnostic{
		File: p.path, Line: line, Name: name, Value: value, Want: want,
	})
}

// readAddresses reads the name and the listen address of the instance, and the addresses of the runtime, the database
// and the registry. An optional address that is absent, null or empty means that there is no such process.
func (p *configParser) readAddresses() {
	for _, field := range []struct {
		name     string
		value    *string
		optional bool
	}{
		{"name", &p.config.Name, false},
		{"listen", &p.config.ListenAddr, false},
		{"runtime", &p.config.RuntimeAddr, false},
		{"db", &p.config.DatabaseAddr, true},
		{"roster", &p.config.RegistryAddr, true},
	} {
		*field.value = string(p.root.GetStringBytes(field.name))
		mayBeEmpty := field.optional && p.isStringOrAbsent(field.name)
		if *field.value == "" && !mayBeEmpty {
			p.report(field.name, "must be a non-empty string")
		}
	}
}

func (p *configParser) isStringOrAbsent(name string) bool {
	found := p.root.Get(name)
	return found == nil || found.Type() == fastjson.TypeNull || found.Type() == fastjson.TypeString
}

// readLimits reads the resource limits of the process, and the time that it has to drain.
func (p *configParser) readLimits() {
	for _, limit := range []struct {
		name  string
		value *float64
	}{
		{"cores", &p.config.Cores},
		{"memory_mb", &p.config.MemoryMB},
	} {
		*limit.value = p.root.GetFloat64("limits", limit.name)
		if *limit.value <= 0 {
			p.report("limits."+limit.name, "must be a number greater than 0")
		}
	}
	p.config.MaxDescriptors = p.root.GetInt("limits", "sockets")
	if p.config.MaxDescriptors < minDescriptors {
		p.report("limits.sockets", "must be a number of 32 or more")
	}
	p.config.TerminationGrace = time.Duration(p.root.GetFloat64("stop_ms") * float64(time.Millisecond))
}

// readSeed reads the seed of random choices. A seed need not be a hexadecimal number: the hash of any other text, or of
// an empty text if the seed is absent, is used.
func (p *configParser) readSeed() {
	text := p.root.GetStringBytes("seed")
	seed, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		hash := fnv.New64a()
		_, _ = hash.Write(text) // never fails
		seed = hash.Sum64()
	}
	p.config.Seed = seed
}

// readSettings reads the settings of the admission controller and the additional settings of the server.
func (p *configParser) readSettings() {
	object := p.root.Get("settings")
	if object == nil {
		p.report("settings", "must be an object")
		return
	}
	var problems []settings.FieldError
	p.config.Settings, problems = settings.Parse(object)
	for _, problem := range problems {
		p.report("settings."+strings.Join(problem.Path, "."), problem.Want)
	}
	p.checkDatabase(object)
	p.config.GaugeNames = settings.GaugeNames(object)
	p.config.ReportReadiness = object.GetBool("domain", "readiness")
}

// checkDatabase reports a missing database address if the settings require upstream calls. If no request makes a call,
// or calls end at this tier, there is no database, and the instance has to start without one.
func (p *configParser) checkDatabase(object *fastjson.Value) {
	upstream := p.config.Settings.Upstream
	noUpstreamCalls := upstream == admission.UpstreamUnspecified || upstream == admission.UpstreamNone
	if p.config.DatabaseAddr != "" || noUpstreamCalls || len(p.diagnostics) > 0 {
		return
	}
	name := upstream.String()
	if upstream == admission.UpstreamUnknown {
		name = string(object.GetStringBytes("domain", "below"))
	}
	p.report("db", fmt.Sprintf("must be an address, because settings.domain.below (%s) requires upstream calls", name))
}
