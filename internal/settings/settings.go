// Package settings reads the settings that the platform passes to an instance, and converts them to admission.Settings.
// The simulator and the real instance use the same code. No other package knows the names of the settings on the wire.
package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
)

// FieldError is an error in one setting.
type FieldError struct {
	Path []string // location of the setting, from the root of the settings
	Want string   // requirement that the setting does not meet
	got  string   // JSON type that was read, if it is the wrong type; otherwise empty
}

func (e FieldError) Error() string {
	if e.got == "" {
		return fmt.Sprintf("%s: %s", strings.Join(e.Path, "."), e.Want)
	}
	return fmt.Sprintf("%v: must not be of type %s", e.Path, e.got)
}

// prefixPaths returns the errors with parent, the path of the enclosing object or list, prepended to their paths.
func prefixPaths(parent []string, nested []FieldError) []FieldError {
	problems := make([]FieldError, 0, len(nested))
	for _, problem := range nested {
		problem.Path = append(append([]string(nil), parent...), problem.Path...)
		problems = append(problems, problem)
	}
	return problems
}

// Parse reads the settings, applies the defaults, and returns all errors that it finds. Missing settings, null
// values and unknown names are ignored. The cores and the classes are required, because no decisions are possible
// without them.
func Parse(raw *fastjson.Value) (admission.Settings, []FieldError) {
	var parsed admission.Settings
	problems := readObject(raw, instanceFields, &parsed)
	parsed.ApplyDefaults()
	err := parsed.Validate()
	if errors.Is(err, admission.ErrNoCores) {
		problems = addOnce(problems, FieldError{Path: coresPath, Want: "must be a number of 1 or more"})
	}
	if errors.Is(err, admission.ErrNoClasses) {
		problems = addOnce(problems, FieldError{Path: classesPath, Want: "must be a non-empty list"})
	}
	return parsed, problems
}

// addOnce appends a problem unless there already is one for the same setting or a part of it.
func addOnce(problems []FieldError, problem FieldError) []FieldError {
	path := strings.Join(problem.Path, ".")
	for _, found := range problems {
		if strings.HasPrefix(strings.Join(found.Path, ".")+".", path+".") {
			return problems
		}
	}
	return append(problems, problem)
}

// gaugeNames maps the names of gauges on the wire to those of package admission.
var gaugeNames = map[string]admission.Gauge{
	"cpu_busy": admission.GaugeBusyCores,
	"runnable": admission.GaugeRunnable,
	"mem_used": admission.GaugeUsedMemory,
	"sockets":  admission.GaugeConnections,
}

// GaugeName converts the name of a gauge on the wire. An unknown name is returned unchanged.
func GaugeName(wireName string) admission.Gauge {
	if name, ok := gaugeNames[wireName]; ok {
		return name
	}
	return admission.Gauge(wireName)
}

// GaugeNames returns the names of the gauges in the order in which the runtime reports them.
func GaugeNames(raw *fastjson.Value) []admission.Gauge {
	var names []admission.Gauge
	for _, v := range raw.GetArray("domain", "meters") {
		names = append(names, GaugeName(string(v.GetStringBytes())))
	}
	return names
}
