// Package facts translates the settings that an instance is told at its start into the names of package
// choice. The simulator's host and the real instance read them alike.
package facts

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/choice"
)

// reader turns one value of the start message into ours, nil if it is of the wrong type; a list tells what is Wrong in it.
type reader func(*fastjson.Value) any

// fact is one translated name; path is where it stands on the wire.
type fact struct {
	path []string
	name string
	read reader
}

func at(name string, read reader, path ...string) fact { return fact{path, name, read} }

var startNames = []fact{
	at("op types", list(opTypeNames), "classes"),
	at("tenants", list(tenantNames), "tenants"),
	at("tries are marked", flag, "clients", "marks-retry"),
	at("below", word(map[string]string{"common": "shared", "next_hop": "next tier", "silent": "none"}),
		"domain", "below"),
	at("calls over", span, "domain", "calls-over-s"),
	at("call share", number, "domain", "dep-share"),
	at("calls below by type", flags, "domain", "class-calls"),
	at("skip share by type", numbers, "domain", "class-skip-worth"),
	at("callers", number, "domain", "clients-total"),
	at("cores", number, "domain", "cpus"),
	at("just started", flag, "domain", "fresh-start"),
	at("shared reads for", span, "domain", "fresh-s"),
	at("halt", word(map[string]string{"silent": "none"}), "domain", "halt"),
	at("hears when callers leave", flag, "domain", "hangup-seen"),
	at("signal heard for", span, "domain", "heard-for-s"),
	at("connections idle", span, "domain", "idle-s"),
	at("key KB", number, "domain", "key-kb"),
	at("given-up call lingers", span, "domain", "linger-s"),
	at("memory KB", number, "domain", "memory-kb"),
	at("run memory factor", number, "domain", "run-mem-factor"),
	at("signal", word(map[string]string{"min_rank": "least rank", "bias": "chance", "silent": "none"}),
		"domain", "signal"),
	at("fleet size", number, "fleet-size"),
	at("over-share importance", number, "over-share-worth"),
	at("longest stay away", span, "policy-limits", "max-retry-after-s"),
	at("stay away is passed on", flag, "policy-limits", "retry-after"),
	at("drain grace", span, "rules", "drain-grace-s"),
	at("crowd a core", number, "rules", "fall-multiple"),
	at("crowd over", span, "rules", "tip-after-s"),
	at("cold speed share", number, "rules", "start-capacity"),
	at("warm within", span, "rules", "warm-within-s"),
	at("tick", span, "tick-s"),
	at("tier", number, "tier"),
}

var opTypeNames = []fact{
	at("name", text, "name"),
	at("importance", number, "credit"),
	at("target latency", span, "promise-s"),
	at("target stretch", number, "aim-stretch"),
	at("op timeout", span, "give-up-s"),
	at("late share", number, "late-share"),
	at("repeat window", span, "dedup-window-s"),
	at("repeats", word(map[string]string{
		"idempotent": "retryable", "deduplicated": "keyed", "at_most_once": "non-retryable",
	}), "repeat"),
}

var tenantNames = []fact{
	at("name", text, "name"),
	at("quota a second", number, "quota-per-s"),
	at("share", number, "portion"),
}

var gaugeNames = map[string]string{
	"cpu_busy": "cores busy", "runnable": "want a core", "mem_used": "memory used", "sockets": "connections",
}

// Gauge is our name of a gauge.
func Gauge(s string) string {
	if ours, known := gaugeNames[s]; known {
		return ours
	}
	return s
}

// Gauges are our names of the gauges, in the order in which they are told.
func Gauges(told *fastjson.Value) []string {
	var names []string
	for _, v := range told.GetArray("domain", "meters") {
		names = append(names, Gauge(string(v.GetStringBytes())))
	}
	return names
}

// Read translates the settings; without cores or op types there is nothing to decide on. The error is the first Wrong.
func Read(told *fastjson.Value) (choice.Settings, error) {
	facts, wrong := Check(told)
	if len(wrong) > 0 {
		return nil, wrong[0]
	}
	return facts, nil
}

// Wrong is a setting that can't be used: where it stands, what was read there and what is wanted.
type Wrong struct {
	Path []string
	Got  string
	Want string
}

func (w Wrong) Error() string {
	if w.Got == "" {
		return fmt.Sprintf("%s: %s", strings.Join(w.Path, "."), w.Want)
	}
	return fmt.Sprintf("%v: is a %s, which is the wrong type", w.Path, w.Got)
}

// Check translates the settings and tells all that is wrong with them.
func Check(told *fastjson.Value) (choice.Settings, []Wrong) {
	facts, wrong := translate(told, startNames)
	complete(facts)
	absent := func(ours, want string, path ...string) {
		at := told.Get(path...)
		if _, there := facts[ours]; there || at == nil || at.Type() == fastjson.TypeNull { // else it has been told as wrong already
			wrong = append(wrong, Wrong{Path: path, Want: want})
		}
	}
	if cores, told := facts["cores"].(float64); !told || cores < 1 {
		absent("cores", "wants a number of 1 or more", "domain", "cpus")
	}
	if types, told := facts["op types"].([]choice.Settings); !told || len(types) == 0 {
		absent("op types", "wants a list that is not empty", "classes")
	}
	return facts, wrong
}

// complete gives what was told of times and shares without a meaning the nearest that has one. Danger: the module divides by a target
// latency, and works out spans from the others.
func complete(facts choice.Settings) {
	types, _ := facts["op types"].([]choice.Settings)
	for _, t := range types {
		target, _ := t["target latency"].(time.Duration)
		timeout, _ := t["op timeout"].(time.Duration)
		// An answer counts as long as it is owed where nothing else is told, and is owed as long as it counts. Where neither is
		// told it is one second, the unit that both are told in.
		const least = time.Millisecond // what a caller's clock can tell
		if target < least && timeout < least {
			target, timeout = time.Second, time.Second
		}
		if target < least {
			target = timeout
		}
		if timeout < least {
			timeout = target
		}
		t["target latency"], t["op timeout"] = target, timeout
	}
	if share, told := facts["cold speed share"].(float64); told {
		facts["cold speed share"] = min(1, max(0, share))
	}
}

// translate picks the named values out of an object. Absent and unknown ones are passed over.
func translate(from *fastjson.Value, names []fact) (choice.Settings, []Wrong) {
	facts := choice.Settings{}
	var wrong []Wrong
	for _, n := range names {
		v := from.Get(n.path...)
		if v == nil || v.Type() == fastjson.TypeNull {
			continue
		}
		got := n.read(v)
		if inside, bad := got.([]Wrong); bad {
			for _, w := range inside {
				w.Path = append(slices.Clone(n.path), w.Path...)
				wrong = append(wrong, w)
			}
			continue
		}
		if got == nil {
			wrong = append(wrong, Wrong{Path: n.path, Got: v.Type().String(), Want: "wants another type than " + v.Type().String()})
			continue
		}
		facts[n.name] = got
	}
	return facts, wrong
}

func list(names []fact) reader {
	return func(v *fastjson.Value) any {
		items, err := v.Array()
		if err != nil {
			return nil
		}
		out := []choice.Settings{}
		var wrong []Wrong
		for i, item := range items {
			if item.Type() != fastjson.TypeObject {
				return nil
			}
			one, inside := translate(item, names)
			if _, named := one["name"]; !named && len(inside) == 0 {
				inside = []Wrong{{Path: []string{"name"}, Want: "wants text"}}
			}
			for _, w := range inside {
				w.Path = append([]string{strconv.Itoa(i)}, w.Path...)
				wrong = append(wrong, w)
			}
			out = append(out, one)
		}
		if len(wrong) > 0 {
			return wrong
		}
		return out
	}
}

func number(v *fastjson.Value) any { return orNil(v.Float64()) }
func flag(v *fastjson.Value) any   { return orNil(v.Bool()) }

func span(v *fastjson.Value) any {
	if x, isNumber := number(v).(float64); isNumber {
		return max(0, Seconds(x))
	}
	return nil
}

func orNil[T any](x T, err error) any {
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

// word reads text and gives ours for the words in the table, the rest as they come.
func word(ours map[string]string) reader {
	return func(v *fastjson.Value) any {
		s, isText := text(v).(string)
		if !isText {
			return nil
		}
		if w, known := ours[s]; known {
			return w
		}
		return s
	}
}

func flags(v *fastjson.Value) any   { return each(v, (*fastjson.Value).Bool) }
func numbers(v *fastjson.Value) any { return each(v, (*fastjson.Value).Float64) }

// each reads a list of one type of value.
func each[T any](v *fastjson.Value, read func(*fastjson.Value) (T, error)) any {
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

// Seconds turns a told time into ours, in whole microseconds as the simulator counts.
func Seconds(x float64) time.Duration {
	if math.Abs(x) > 9e9 { // past what a Duration holds
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(math.Round(x*1e6)) * time.Microsecond
}
