package simulator

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
	"lanewheel/internal/settings"
)

// maxInteger is up to where a JSON number is an exact integer.
const maxInteger = 1 << 53

// fieldReader reads the values of a line in order, and keeps the first error. After an error values are zero.
type fieldReader struct {
	line line
	next int
	err  error
}

// newFieldReader checks how many values a line has; the last ones may be left out.
func newFieldReader(l line, minValues, maxValues int) *fieldReader {
	f := &fieldReader{line: l}
	if n := len(l.values); n < minValues || n > maxValues {
		f.err = fmt.Errorf("%s: has %d values, wants %d to %d", l.name, n, minValues, maxValues)
	}
	return f
}

// fail keeps an error unless there is one.
func (f *fieldReader) fail(field, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: wants %s", f.line.name, field, want)
	}
}

// value takes the next value, nil if it is left out or of another type.
func (f *fieldReader) value(field, want string, wantType fastjson.Type) *fastjson.Value {
	i := f.next
	f.next++
	if f.err != nil || i >= len(f.line.values) {
		return nil
	}
	v := f.line.values[i]
	if v.Type() != wantType {
		f.fail(field, want)
		return nil
	}
	return v
}

// skipNull passes over a value that is null or left out, and tells whether it did.
func (f *fieldReader) skipNull() bool {
	if f.next < len(f.line.values) && f.line.values[f.next].Type() != fastjson.TypeNull {
		return false
	}
	f.next++
	return true
}

func (f *fieldReader) number(field string) float64 {
	const want = "a number"
	v := f.value(field, want, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	x, err := v.Float64()
	if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
		f.fail(field, want)
	}
	return x
}

// optionalNumber is 0 where the value is null or left out.
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

// unsigned keeps all the bits of a seed, which a float would not.
func (f *fieldReader) unsigned(field string) uint64 {
	const want = "an integer"
	v := f.value(field, want, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	if u, err := v.Uint64(); err == nil {
		return u
	}
	i, err := v.Int64()
	if err != nil {
		f.fail(field, want)
	}
	return uint64(i)
}

func (f *fieldReader) text(field string) string {
	v := f.value(field, "text", fastjson.TypeString)
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// optionalText is empty where the value is null, left out or 0.
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

// skipInstance passes over the number of the instance that a line is for; see decodeInstance.
func (f *fieldReader) skipInstance() { f.integer("who") }

func (f *fieldReader) requestID() admission.RequestID {
	const field = "tid"
	return f.checkRequestID(field, f.text(field))
}

// duplicateOf reads the request that another one repeats, empty for none.
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

// duration reads seconds.
func (f *fieldReader) duration(field string) time.Duration {
	seconds := f.number(field)
	if seconds < 0 {
		f.fail(field, "a time of 0 or more")
	}
	return settings.SecondsToDuration(seconds)
}

// outcomes are the codes of how a run or a call ended.
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
	outcome, known := outcomes[f.integer(field)]
	if !known {
		f.fail(field, "an outcome code")
	}
	return outcome
}
