package settings

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// wrongType is the problem with a value of another type than the setting's.
func wrongType(v *fastjson.Value) FieldError {
	got := v.Type().String()
	return FieldError{got: got, Want: "wants another type than " + got}
}

// isAbsent tells whether a setting is missing or null.
func isAbsent(v *fastjson.Value) bool { return v == nil || v.Type() == fastjson.TypeNull }

// readObject reads the fields that an object has.
func readObject[T any](object *fastjson.Value, fields []field[T], to *T) []FieldError {
	var problems []FieldError
	for _, f := range fields {
		v := object.Get(f.path...)
		if isAbsent(v) {
			continue
		}
		problems = append(problems, prefixPaths(f.path, f.read(to, v))...)
	}
	return problems
}

// readObjects reads a list of objects, each of which needs a name.
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
			nested = []FieldError{{Path: []string{"name"}, Want: "wants text"}}
		}
		problems = append(problems, prefixPaths([]string{strconv.Itoa(i)}, nested)...)
	}
	return items, problems
}

// readList reads a list of values of one type.
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

// duration reads seconds; a negative time is none.
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

// enumeration reads an enumeration. A word that is not known is no error.
type enumeration[E any] struct {
	values   map[string]E
	fallback E
}

func (w enumeration[E]) read(v *fastjson.Value) (E, bool) {
	word, ok := text[string](v)
	if value, known := w.values[word]; known && ok {
		return value, true
	}
	return w.fallback, ok
}

// maxSeconds is what a time.Duration holds, rounded down.
const maxSeconds = 9e9

// SecondsToDuration converts seconds to whole microseconds, the unit in which the simulator counts. What is too large,
// of either sign, becomes the longest duration.
func SecondsToDuration(seconds float64) time.Duration {
	if math.Abs(seconds) > maxSeconds {
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(math.Round(seconds*1e6)) * time.Microsecond
}
