package simulator

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
	"lanewheel/internal/settings"
)

// maxInteger is the largest magnitude up to which every integer is exact as a JSON number.
const maxInteger = 1 << 53

// fieldReader reads the values of a line in order and keeps the first error. After an error, all values are zero.
type fieldReader struct {
	line line
	next int
	err  error
}

// newFieldReader checks that a line has minValues to maxValues values. The values after the first minValues are
// optional.
func newFieldReader(l line, minValues, maxValues int) *fieldReader {
	f := &fieldReader{line: l}
	if n := len(l.values); n < minValues || n > maxValues {
		f.err = fmt.Errorf("%s: has %d values, must have %d to %d", l.name, n, minValues, maxValues)
	}
	return f
}

// fail records an error about a field unless there is one already. The error states that the field must be the
// expected value.
func (f *fieldReader) fail(field, expected string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: must be %s", f.line.name, field, expected)
	}
}

// value returns the next value, or nil if it is left out or of another type.
func (f *fieldReader) value(field, expected string, expectedType fastjson.Type) *fastjson.Value {
	i := f.next
	f.next++
	if f.err != nil || i >= len(f.line.values) {
		return nil
	}
	v := f.line.values[i]
	if v.Type() != expectedType {
		f.fail(field, expected)
		return nil
	}
	return v
}

// skipNull skips the next value if it is null or left out, and reports whether it did.
func (f *fieldReader) skipNull() bool {
	if f.next < len(f.line.values) && f.line.values[f.next].Type() != fastjson.TypeNull {
		return false
	}
	f.next++
	return true
}

func (f *fieldReader) number(field string) float64 {
	const expected = "a number"
	v := f.value(field, expected, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	x, err := v.Float64()
	if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
		f.fail(field, expected)
	}
	return x
}

// optionalNumber returns the next number, or 0 if the value is null or left out.
func (f *fieldReader) optionalNumber(field string) float64 {
	if f.skipNull() {
		return 0
	}
	return f.number(field)
}

func (f *fieldReader) integer(field string) int64 {
	x := f.number(field)
	if x != math.Trunc(x) || math.Abs(x) > maxInteger {
		f.fail(field, "an integer")
	}
	return int64(x)
}

// unsigned returns the next integer with all its bits, which a seed needs and a float64 cannot hold.
func (f *fieldReader) unsigned(field string) uint64 {
	const expected = "an integer"
	v := f.value(field, expected, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	if u, err := v.Uint64(); err == nil {
		return u
	}
	i, err := v.Int64()
	if err != nil {
		f.fail(field, expected)
	}
	return uint64(i)
}

func (f *fieldReader) text(field string) string {
	v := f.value(field, "a string", fastjson.TypeString)
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// optionalText returns the next string, or "" if the value is null, left out or 0.
func (f *fieldReader) optionalText(field string) string {
	if f.skipNull() {
		return ""
	}
	if v := f.line.values[f.next]; v.Type() == fastjson.TypeNumber && v.GetFloat64() == 0 {
		f.next++
		return ""
	}
	return f.text(field)
}

// skipInstance skips the number of the instance, which decodeInstance reads.
func (f *fieldReader) skipInstance() { f.integer("who") }

func (f *fieldReader) requestID() admission.RequestID {
	const field = "tid"
	return f.checkRequestID(field, f.text(field))
}

// duplicateOf returns the id of the request that this one duplicates, or "" if it duplicates none.
func (f *fieldReader) duplicateOf() admission.RequestID {
	const field = "dup-of"
	id := f.optionalText(field)
	if id == "" {
		return ""
	}
	return f.checkRequestID(field, id)
}

func (f *fieldReader) checkRequestID(field, id string) admission.RequestID {
	if f.err == nil && !isRequestID(id) {
		f.fail(field, "16 hex digits")
	}
	return admission.RequestID(id)
}

func isRequestID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// duration returns the next value, which is a number of seconds.
func (f *fieldReader) duration(field string) time.Duration {
	seconds := f.number(field)
	if seconds < 0 {
		f.fail(field, "a duration of 0 or more")
	}
	return settings.SecondsToDuration(seconds)
}

// outcomes maps the codes of the wire to the outcomes of runs and calls.
var outcomes = map[int64]admission.Outcome{
	0:  admission.Succeeded,
	1:  admission.Stopped,
	4:  admission.TimedOut,
	8:  admission.Rejected,
	9:  admission.NotStarted,
	10: admission.ConnectionLost,
	13: admission.Failed,
	14: admission.Unreachable,
}

func (f *fieldReader) outcome() admission.Outcome {
	const field = "how"
	outcome, ok := outcomes[f.integer(field)]
	if !ok {
		f.fail(field, "an outcome code")
	}
	return outcome
}
