// Package settings translates the settings that an instance is told at its start into the names of package
// choice. The simulator's host and the real instance read them alike.
package settings

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
)

// valueReader turns one value of the start message into ours, nil if it is of the wrong type; a list tells what is Wrong in it.
type valueReader func(*fastjson.Value) any

// setting is one translated name; path is where it stands on the wire.
type setting struct {
	storedPath []string
	name       string
	read       valueReader
}

func newSetting(name string, read valueReader, path ...string) setting {
	return setting{path, name, read}
}

var instanceSettings = []setting{
	newSetting("op types", objects(classSettings), "classes"),
	newSetting("tenants", objects(tenantSettings), "tenants"),
	newSetting("tries are marked", boolean, "clients", "marks-retry"),
	newSetting("below", enum(map[string]string{"common": "shared", "next_hop": "next tier", "silent": "none"}),
		"domain", "below"),
	newSetting("calls over", duration, "domain", "calls-over-s"),
	newSetting("call share", number, "domain", "dep-share"),
	newSetting("calls below by type", booleans, "domain", "class-calls"),
	newSetting("skip share by type", numbers, "domain", "class-skip-worth"),
	newSetting("callers", number, "domain", "clients-total"),
	newSetting("cores", number, "domain", "cpus"),
	newSetting("just started", boolean, "domain", "fresh-start"),
	newSetting("shared reads for", duration, "domain", "fresh-s"),
	newSetting("halt", enum(map[string]string{"silent": "none"}), "domain", "halt"),
	newSetting("hears when callers leave", boolean, "domain", "hangup-seen"),
	newSetting("signal heard for", duration, "domain", "heard-for-s"),
	newSetting("connections idle", duration, "domain", "idle-s"),
	newSetting("key KB", number, "domain", "key-kb"),
	newSetting("given-up call lingers", duration, "domain", "linger-s"),
	newSetting("memory KB", number, "domain", "memory-kb"),
	newSetting("run memory factor", number, "domain", "run-mem-factor"),
	newSetting("signal", enum(map[string]string{"min_rank": "least rank", "bias": "chance", "silent": "none"}),
		"domain", "signal"),
	newSetting("fleet size", number, "fleet-size"),
	newSetting("over-share importance", number, "over-share-worth"),
	newSetting("longest stay away", duration, "policy-limits", "max-retry-after-s"),
	newSetting("stay away is passed on", boolean, "policy-limits", "retry-after"),
	newSetting("drain grace", duration, "rules", "drain-grace-s"),
	newSetting("crowd a core", number, "rules", "fall-multiple"),
	newSetting("crowd over", duration, "rules", "tip-after-s"),
	newSetting("cold speed share", number, "rules", "start-capacity"),
	newSetting("warm within", duration, "rules", "warm-within-s"),
	newSetting("tick", duration, "tick-s"),
	newSetting("tier", number, "tier"),
}

var classSettings = []setting{
	newSetting("name", text, "name"),
	newSetting("importance", number, "credit"),
	newSetting("target latency", duration, "promise-s"),
	newSetting("target stretch", number, "aim-stretch"),
	newSetting("op timeout", duration, "give-up-s"),
	newSetting("late share", number, "late-share"),
	newSetting("repeat window", duration, "dedup-window-s"),
	newSetting("repeats", enum(map[string]string{
		"idempotent": "retryable", "deduplicated": "keyed", "at_most_once": "non-retryable",
	}), "repeat"),
}

var tenantSettings = []setting{
	newSetting("name", text, "name"),
	newSetting("quota a second", number, "quota-per-s"),
	newSetting("share", number, "portion"),
}

var gaugeNames = map[string]string{
	"cpu_busy": "cores busy", "runnable": "want a core", "mem_used": "memory used", "sockets": "connections",
}

// GaugeName is our name of a gauge.
func GaugeName(stored string) string {
	if name, known := gaugeNames[stored]; known {
		return name
	}
	return stored
}

// GaugeNames are our names of the gauges, in the order in which they are told.
func GaugeNames(stored *fastjson.Value) []string {
	var names []string
	for _, v := range stored.GetArray("domain", "meters") {
		names = append(names, GaugeName(string(v.GetStringBytes())))
	}
	return names
}

// Parse translates the settings; without cores or op types there is nothing to decide on. The error is the first Wrong.
func Parse(stored *fastjson.Value) (admission.Settings, error) {
	parsed, problems := ParseAll(stored)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return parsed, nil
}

// FieldError is a setting that can't be used: where it stands, what was read there and what is wanted.
type FieldError struct {
	Path []string
	got  string
	Want string
}

func (w FieldError) Error() string {
	if w.got == "" {
		return fmt.Sprintf("%s: %s", strings.Join(w.Path, "."), w.Want)
	}
	return fmt.Sprintf("%v: is a %s, which is the wrong type", w.Path, w.got)
}

// ParseAll translates the settings and tells all that is wrong with them.
func ParseAll(told *fastjson.Value) (admission.Settings, []FieldError) {
	parsed, problems := readObject(told, instanceSettings)
	applyDefaults(parsed)
	requirePresent := func(name, want string, path ...string) {
		value := told.Get(path...)
		if _, known := parsed[name]; known || value == nil || value.Type() == fastjson.TypeNull { // else it has been told as wrong already
			problems = append(problems, FieldError{Path: path, Want: want})
		}
	}
	if cores, told := parsed["cores"].(float64); !told || cores < 1 {
		requirePresent("cores", "wants a number of 1 or more", "domain", "cpus")
	}
	if classes, told := parsed["op types"].([]admission.Settings); !told || len(classes) == 0 {
		requirePresent("op types", "wants a list that is not empty", "classes")
	}
	return parsed, problems
}

// applyDefaults gives what was told of times and shares without a meaning the nearest that has one. Danger: the module divides by a target
// latency, and works out spans from the others.
func applyDefaults(parsed admission.Settings) {
	classes, _ := parsed["op types"].([]admission.Settings)
	for _, class := range classes {
		target, _ := class["target latency"].(time.Duration)
		timeout, _ := class["op timeout"].(time.Duration)
		// An answer counts as long as it is owed where nothing else is told, and is owed as long as it counts. Where neither is
		// told it is one second, the unit that both are told in.
		const minDuration = time.Millisecond // what a caller's clock can tell
		if target < minDuration && timeout < minDuration {
			target, timeout = time.Second, time.Second
		}
		if target < minDuration {
			target = timeout
		}
		if timeout < minDuration {
			timeout = target
		}
		class["target latency"], class["op timeout"] = target, timeout
	}
	if share, isSet := parsed["cold speed share"].(float64); isSet {
		parsed["cold speed share"] = min(1, max(0, share))
	}
}

// readObject picks the named values out of an object. Absent and unknown ones are passed over.
func readObject(object *fastjson.Value, known []setting) (admission.Settings, []FieldError) {
	parsed := admission.Settings{}
	var problems []FieldError
	for _, field := range known {
		v := object.Get(field.storedPath...)
		if v == nil || v.Type() == fastjson.TypeNull {
			continue
		}
		value := field.read(v)
		if nested, invalid := value.([]FieldError); invalid {
			for _, w := range nested {
				w.Path = append(slices.Clone(field.storedPath), w.Path...)
				problems = append(problems, w)
			}
			continue
		}
		if value == nil {
			problems = append(problems, FieldError{Path: field.storedPath, got: v.Type().String(), Want: "wants another type than " + v.Type().String()})
			continue
		}
		parsed[field.name] = value
	}
	return parsed, problems
}

func objects(known []setting) valueReader {
	return func(v *fastjson.Value) any {
		items, err := v.Array()
		if err != nil {
			return nil
		}
		out := []admission.Settings{}
		var problems []FieldError
		for i, item := range items {
			if item.Type() != fastjson.TypeObject {
				return nil
			}
			parsed, nested := readObject(item, known)
			if _, named := parsed["name"]; !named && len(nested) == 0 {
				nested = []FieldError{{Path: []string{"name"}, Want: "wants text"}}
			}
			for _, w := range nested {
				w.Path = append([]string{strconv.Itoa(i)}, w.Path...)
				problems = append(problems, w)
			}
			out = append(out, parsed)
		}
		if len(problems) > 0 {
			return problems
		}
		return out
	}
}

func number(v *fastjson.Value) any  { return valueOrNil(v.Float64()) }
func boolean(v *fastjson.Value) any { return valueOrNil(v.Bool()) }

func duration(v *fastjson.Value) any {
	if x, isNumber := number(v).(float64); isNumber {
		return max(0, SecondsToDuration(x))
	}
	return nil
}

func valueOrNil[T any](x T, err error) any {
	if err != nil {
		return nil
	}
	return x
}

func text(v *fastjson.Value) any {
	if v.Type() == fastjson.TypeString {
		return string(v.GetStringBytes())
	}
	return nil
}

// enum reads text and gives ours for the words in the table, the rest as they come.
func enum(names map[string]string) valueReader {
	return func(v *fastjson.Value) any {
		s, isText := text(v).(string)
		if !isText {
			return nil
		}
		if w, known := names[s]; known {
			return w
		}
		return s
	}
}

func booleans(v *fastjson.Value) any { return listOf(v, (*fastjson.Value).Bool) }
func numbers(v *fastjson.Value) any  { return listOf(v, (*fastjson.Value).Float64) }

// listOf reads a list of one type of value.
func listOf[T any](v *fastjson.Value, read func(*fastjson.Value) (T, error)) any {
	items, err := v.Array()
	if err != nil {
		return nil
	}
	out := make([]T, 0, len(items))
	for _, item := range items {
		x, err := read(item)
		if err != nil {
			return nil
		}
		out = append(out, x)
	}
	return out
}

// SecondsToDuration turns a told time into ours, in whole microseconds as the simulator counts.
func SecondsToDuration(x float64) time.Duration {
	if math.Abs(x) > 9e9 { // past what a Duration holds
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(math.Round(x*1e6)) * time.Microsecond
}
