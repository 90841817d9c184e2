// Package settings reads the settings that the platform gives to an instance, and maps their names and words to
// admission.Settings. The simulator and the real instance read them alike. This is the only place that knows the names
// on the wire.
package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
)

// FieldError is a setting that can't be used.
type FieldError struct {
	Path []string // where it stands, from the root of the settings
	Want string   // what is wanted there
	got  string   // the type that was read, if that is what is wrong
}

func (e FieldError) Error() string {
	if e.got == "" {
		return fmt.Sprintf("%s: %s", strings.Join(e.Path, "."), e.Want)
	}
	return fmt.Sprintf("%v: is a %s, which is the wrong type", e.Path, e.got)
}

// prefixPaths prefixes the errors' paths by that of the object that they were found in.
func prefixPaths(parent []string, nested []FieldError) []FieldError {
	problems := make([]FieldError, 0, len(nested))
	for _, problem := range nested {
		problem.Path = append(append([]string(nil), parent...), problem.Path...)
		problems = append(problems, problem)
	}
	return problems
}

// Parse reads the settings, completes them, and returns all that is wrong with them. Names that are absent, null or
// not known are passed over; without cores or classes there is nothing to decide on.
func Parse(stored *fastjson.Value) (admission.Settings, []FieldError) {
	var parsed admission.Settings
	problems := readObject(stored, instanceFields, &parsed)
	parsed.ApplyDefaults()
	err := parsed.Validate()
	if errors.Is(err, admission.ErrNoCores) {
		problems = addOnce(problems, FieldError{Path: coresPath, Want: "wants a number of 1 or more"})
	}
	if errors.Is(err, admission.ErrNoClasses) {
		problems = addOnce(problems, FieldError{Path: classesPath, Want: "wants a list that is not empty"})
	}
	return parsed, problems
}

// addOnce adds a problem unless one with the setting or a part of it was found before.
func addOnce(problems []FieldError, problem FieldError) []FieldError {
	path := strings.Join(problem.Path, ".")
	for _, found := range problems {
		if strings.HasPrefix(strings.Join(found.Path, ".")+".", path+".") {
			return problems
		}
	}
	return append(problems, problem)
}

// gaugeNames maps the names of the gauges on the wire.
var gaugeNames = map[string]admission.Gauge{
	"cpu_busy": admission.GaugeBusyCores,
	"runnable": admission.GaugeRunnable,
	"mem_used": admission.GaugeUsedMemory,
	"sockets":  admission.GaugeConnections,
}

// GaugeName maps the name of a gauge on the wire; one that is not known stays as it is.
func GaugeName(stored string) admission.Gauge {
	if name, ok := gaugeNames[stored]; ok {
		return name
	}
	return admission.Gauge(stored)
}

// GaugeNames are the gauges in the order in which the runtime reports them.
func GaugeNames(stored *fastjson.Value) []admission.Gauge {
	var names []admission.Gauge
	for _, v := range stored.GetArray("domain", "meters") {
		names = append(names, GaugeName(string(v.GetStringBytes())))
	}
	return names
}
