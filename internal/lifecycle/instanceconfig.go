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

// minDescriptors is the least limit on descriptors that an instance works with.
const minDescriptors = 32

// LoadConfig reads the platform's configuration of an instance. The error is a diagnostic.List with all that is wrong.
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

// parseConfig reads a configuration as far as it can be read, and tells all that is wrong with it.
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

// configParser reads one configuration.
type configParser struct {
	path        string
	text        []byte
	root        *fastjson.Value
	lines       map[string]int // of names; nil until something is wrong
	config      server.Config
	diagnostics diagnostic.List
}

// report notes what is wrong with a value, by its name in the text. What is absent is reported with the line of
// what it is missing in.
func (p *configParser) report(name, want string) {
	if p.lines == nil {
		p.lines, _ = diagnostic.JSONLines(p.text) // names that stand twice are no fault here
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

// readAddresses reads the name of the instance and the addresses of the others. An optional one that is absent, null or
// empty says that there is no such party.
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
		mayBeEmpty := field.optional && p.isTextOrAbsent(field.name)
		if *field.value == "" && !mayBeEmpty {
			p.report(field.name, "wants text")
		}
	}
}

func (p *configParser) isTextOrAbsent(name string) bool {
	found := p.root.Get(name)
	return found == nil || found.Type() == fastjson.TypeNull || found.Type() == fastjson.TypeString
}

// readLimits reads what the process may use, and how long it has to drain.
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
			p.report("limits."+limit.name, "wants a number over 0")
		}
	}
	p.config.MaxDescriptors = p.root.GetInt("limits", "sockets")
	if p.config.MaxDescriptors < minDescriptors {
		p.report("limits.sockets", "wants a number of 32 or more")
	}
	p.config.TerminationGrace = time.Duration(p.root.GetFloat64("stop_ms") * float64(time.Millisecond))
}

// readSeed reads the seed of random choices. One that is no hexadecimal number, or absent, is hashed: it need not
// be any.
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

// readSettings reads the settings of the admission controller, and what the server needs beside them.
func (p *configParser) readSettings() {
	object := p.root.Get("settings")
	if object == nil {
		p.report("settings", "wants an object")
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

// checkDatabase reports an address of the database that is absent although calls go there. Where no request makes a
// call, or calls end at this tier, there is no database, and the instance has to start without.
func (p *configParser) checkDatabase(object *fastjson.Value) {
	upstream := p.config.Settings.Upstream
	callsNothing := upstream == admission.UpstreamUnspecified || upstream == admission.UpstreamNone
	if p.config.DatabaseAddr != "" || callsNothing || len(p.diagnostics) > 0 {
		return
	}
	name := upstream.String()
	if upstream == admission.UpstreamUnknown {
		name = string(object.GetStringBytes("domain", "below"))
	}
	p.report("db", fmt.Sprintf("wants text, as calls go to what settings.domain.below tells of (%s)", name))
}
