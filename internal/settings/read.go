package settings

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// wrongType returns the error for a value whose JSON type is not that of the setting.
func wrongType(v *fastjson.Value) FieldError {
	got := v.Type().String()
	return FieldError{got: got, Want: "must not be of type " + got}
}

// isAbsent reports whether a setting is missing or null.
func isAbsent(v *fastjson.Value) bool { return v == nil || v.Type() == fastjson.TypeNull }

// readObject reads the given fields of an object into dst. It skips fields that are absent.
func readObject[T any](object *fastjson.Value, fields []field[T], dst *T) []FieldError {
	var problems []FieldError
	for _, f := range fields {
		v := object.Get(f.path...)
		if isAbsent(v) {
			continue
		}
		problems = append(problems, prefixPaths(f.path, f.read(dst, v))...)
	}
	return problems
}

// readObjects reads a list of objects. Each object must have a name.
func readObjects[T any](v *fastjson.Value, fields []field[T]) ([]T, []FieldError) {
	values, err := v.Array()
	if err != nil {
		return nil, []FieldError{wrongType(v)}
	}
	for _, value := range values {
		if value.Type() != fastjson.TypeObject {
			return nil, []FieldError{wrongType(v)}
		}
	}
	items := make([]T, len(values))
	var problems []FieldError
	for i, value := range values {
		nested := readObject(value, fields, &items[i])
		if len(nested) == 0 && isAbsent(value.Get("name")) {
			nested = []FieldError{{Path: []string{"name"}, Want: "must be a string"}}
		}
		problems = append(problems, prefixPaths([]string{strconv.Itoa(i)}, nested)...)
	}
	return items, problems
}

// readList reads a list of values of one type. It returns false if v is not a list or an item has the wrong type.
func readList[V any](v *fastjson.Value, read valueReader[V]) ([]V, bool) {
	items, err := v.Array()
	if err != nil {
		return nil, false
	}
	values := make([]V, 0, len(items))
	for _, item := range items {
		value, ok := read(item)
		if !ok {
			return nil, false
		}
		values = append(values, value)
	}
	return values, true
}

func number(v *fastjson.Value) (float64, bool) {
	x, err := v.Float64()
	return x, err == nil
}

func boolean(v *fastjson.Value) (bool, bool) {
	x, err := v.Bool()
	return x, err == nil
}

// duration reads a number of seconds. A negative number is read as 0, but one below -maxSeconds is read as the
// longest duration; see SecondsToDuration.
func duration(v *fastjson.Value) (time.Duration, bool) {
	seconds, ok := number(v)
	return max(0, SecondsToDuration(seconds)), ok
}

func text[S ~string](v *fastjson.Value) (S, bool) {
	if v.Type() != fastjson.TypeString {
		return "", false
	}
	return S(v.GetStringBytes()), true
}

// enumeration reads a value of type E by its name. An unknown name is not an error, but is read as fallback.
type enumeration[E any] struct {
	values   map[string]E
	fallback E
}

func (e enumeration[E]) read(v *fastjson.Value) (E, bool) {
	name, ok := text[string](v)
	if value, found := e.values[name]; found && ok {
		return value, true
	}
	return e.fallback, ok
}

// maxSeconds is the maximum of a time.Duration in seconds, rounded down.
const maxSeconds = 9e9

// SecondsToDuration converts seconds to a duration of whole microseconds, the unit that the simulator uses. A value
// whose magnitude is too large, positive or negative, becomes the longest duration.
func SecondsToDuration(seconds float64) time.Duration {
	if math.Abs(seconds) > maxSeconds {
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(math.Round(seconds*1e6)) * time.Microsecond
}
