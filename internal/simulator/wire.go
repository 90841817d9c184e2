// Package simulator reads and writes the simulator's wire, JSON one array a line, and translates its names
// into those of package choice. It decides nothing.
package simulator

import (
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
	"lanewheel/internal/settings"
)

// Message is one message. It stays valid until its Reader parses the next.
type Message struct {
	Name   string
	values []*fastjson.Value
}

// Parser parses messages, one a call.
type Parser struct{ json fastjson.Parser }

// Parse reads one line.
func (r *Parser) Parse(text []byte) (Message, error) {
	if !utf8.Valid(text) {
		return Message{}, errors.New("message is not UTF-8")
	}
	if err := fastjson.ValidateBytes(text); err != nil {
		return Message{}, fmt.Errorf("malformed JSON: %w", err)
	}
	v, err := r.json.ParseBytes(text)
	if err != nil {
		return Message{}, fmt.Errorf("malformed JSON: %w", err)
	}
	values, err := v.Array()
	if err != nil || len(values) == 0 || values[0].Type() != fastjson.TypeString {
		return Message{}, errors.New("message is not an array that starts with its name")
	}
	return Message{Name: string(values[0].GetStringBytes()), values: values[1:]}, nil
}

// fieldReader walks the values of a line and keeps the first fault.
type fieldReader struct {
	message Message
	next    int
	err     error
}

// readFields checks how many values a line has, leaving out absent ones at its end.
func readFields(message Message, minValues, maxValues int) *fieldReader {
	f := &fieldReader{message: message}
	if n := len(message.values); n < minValues || n > maxValues {
		f.err = fmt.Errorf("%s: has %d values, wants %d to %d", message.Name, n, minValues, maxValues)
	}
	return f
}

func (f *fieldReader) value(field string, want string, types ...fastjson.Type) *fastjson.Value {
	i := f.next
	f.next++
	if f.err != nil || i >= len(f.message.values) {
		return nil
	}
	v := f.message.values[i]
	for _, t := range types {
		if v.Type() == t {
			return v
		}
	}
	f.fail(field, want)
	return nil
}

func (f *fieldReader) fail(field, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: wants %s", f.message.Name, field, want)
	}
}

func (f *fieldReader) number(field string) float64 {
	v := f.value(field, "a number", fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	x, err := v.Float64()
	if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
		f.fail(field, "a number")
	}
	return x
}

// optionalNumber is for values that may be absent.
func (f *fieldReader) optionalNumber(field string) float64 {
	if f.skipNull() {
		return 0
	}
	return f.number(field)
}

// skipNull passes over a null and tells so.
func (f *fieldReader) skipNull() bool {
	if f.next < len(f.message.values) && f.message.values[f.next].Type() != fastjson.TypeNull {
		return false
	}
	f.next++
	return true
}

func (f *fieldReader) integer(field string) int64 {
	x := f.number(field)
	if x != math.Trunc(x) || math.Abs(x) > 1<<53 {
		f.fail(field, "an integer")
	}
	return int64(x)
}

// unsigned keeps all the bits of a seed, which a float would not.
func (f *fieldReader) unsigned(field string) uint64 {
	v := f.value(field, "an integer", fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	if u, err := v.Uint64(); err == nil {
		return u
	}
	i, err := v.Int64()
	if err != nil {
		f.fail(field, "an integer")
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

// optionalText reads text that may be absent or 0.
func (f *fieldReader) optionalText(field string) string {
	if f.skipNull() {
		return ""
	}
	if v := f.message.values[f.next]; v.Type() == fastjson.TypeNumber && v.GetFloat64() == 0 {
		f.next++
		return ""
	}
	return f.text(field)
}

func (f *fieldReader) requestID(field string) admission.RequestID {
	id := f.text(field)
	if f.err == nil && !isHex16(id) {
		f.fail(field, "16 hex digits")
	}
	return admission.RequestID(id)
}

func isHex16(s string) bool {
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

func (f *fieldReader) duration(field string) time.Duration {
	x := f.number(field)
	if x < 0 {
		f.fail(field, "a time of 0 or more")
	}
	return settings.SecondsToDuration(x)
}

var outcomes = map[int64]admission.Outcome{
	0: admission.Succeeded, 13: admission.Failed, 8: admission.Rejected, 4: admission.TimedOut, 14: admission.Unreachable,
	10: admission.ConnectionLost, 1: admission.Stopped, 9: admission.NotStarted,
}

func (f *fieldReader) outcome(field string) admission.Outcome {
	outcome, known := outcomes[f.integer(field)]
	if !known {
		f.fail(field, "an outcome code")
	}
	return outcome
}

// Tick reads the clock that opens a batch.
func (l Message) Tick() (time.Duration, error) {
	f := readFields(l, 1, 1)
	clock := f.duration("clock-s")
	return clock, f.err
}

// CheckFlush checks the line that closes a batch.
func (l Message) CheckFlush() error { return readFields(l, 0, 0).err }

// Instance reads which instance an event is for.
func (l Message) Instance() (int, error) {
	f := &fieldReader{message: l}
	if len(l.values) == 0 {
		f.fail("who", "a value")
	}
	instance := f.integer("who")
	if instance < 0 {
		f.fail("who", "a small number")
	}
	return int(instance), f.err
}

// Boot reads a start: the seed and what the instance is told.
func (l Message) Boot() (uint64, admission.Settings, error) {
	f := readFields(l, 3, 3)
	f.integer("who")
	seed := f.unsigned("random-seed")
	info := f.value("boot-info", "an object", fastjson.TypeObject)
	if f.err != nil {
		return 0, admission.Settings{}, f.err
	}
	parsed, problems := settings.Parse(info)
	if len(problems) > 0 {
		return 0, admission.Settings{}, fmt.Errorf("%s: boot-info: %w", l.Name, problems[0])
	}
	return seed, parsed, nil
}

// Order reads an op.
func (l Message) Order() (admission.Request, error) {
	const hasHint, isRetry, isWrite = 1, 2, 4
	f := readFields(l, 11, 13)
	f.integer("who")
	request := admission.Request{ID: f.requestID("tid"), Class: admission.Class(f.text("priority")), Rank: f.number("place")}
	bits := f.integer("bits")
	request.IsRetry, request.IsWrite = bits&isRetry != 0, bits&isWrite != 0
	request.Resource = f.optionalText("path-key")
	request.Caller = admission.CallerID(f.integer("from"))
	if until := f.optionalNumber("valid-until-s"); until > 0 {
		request.HasDeadline, request.Deadline = true, settings.SecondsToDuration(until)
	}
	if hint := f.optionalNumber("expected-s"); bits&hasHint != 0 && hint > 0 {
		request.WorkHint = settings.SecondsToDuration(hint)
	}
	request.MemoryKB, request.QueueDelay = f.number("kb"), f.duration("lay-s")
	request.Tenant = admission.TenantID(f.optionalText("billing"))
	request.DuplicateOf = admission.RequestID(f.optionalText("dup-of"))
	if f.err == nil && request.DuplicateOf != "" && !isHex16(string(request.DuplicateOf)) {
		f.fail("dup-of", "16 hex digits")
	}
	return request, f.err
}

// TimeoutFired reads a timer: its token and the gauges of the moment.
func (l Message) TimeoutFired() (string, admission.Gauges, error) {
	f := readFields(l, 3, 3)
	f.integer("who")
	token := f.text("key-back")
	pairs := f.value("health-info", "an object", fastjson.TypeObject)
	gauges := admission.Gauges{}
	if pairs != nil {
		pairs.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			x, err := v.Float64()
			if err != nil {
				f.fail("health-info."+string(key), "a number")
			}
			gauges[settings.GaugeName(string(key))] = x
		})
	}
	return token, gauges, f.err
}

// RequestID reads an event that only names an op: blocked and aborted.
func (l Message) RequestID() (admission.RequestID, error) {
	f := readFields(l, 2, 2)
	f.integer("who")
	id := f.requestID("tid")
	return id, f.err
}

// Ended reads the end of a run.
func (l Message) Ended() (admission.RequestID, time.Duration, admission.Outcome, error) {
	f := readFields(l, 4, 4)
	f.integer("who")
	id, elapsed := f.requestID("tid"), f.duration("elapsed-s")
	outcome := f.outcome("how")
	return id, elapsed, outcome, f.err
}

// CallDone reads the end of a call, whose outcome comes before its time.
func (l Message) CallDone() (admission.RequestID, time.Duration, admission.Outcome, error) {
	f := readFields(l, 4, 4)
	f.integer("who")
	id, outcome := f.requestID("tid"), f.outcome("how")
	elapsed := f.duration("elapsed-s")
	return id, elapsed, outcome, f.err
}

// TerminateSoon reads when the instance will be killed.
func (l Message) TerminateSoon() (time.Duration, error) {
	f := readFields(l, 2, 2)
	f.integer("who")
	killAt := f.duration("valid-until-s")
	return killAt, f.err
}

// CheckPowerOff checks the word that an instance is dead.
func (l Message) CheckPowerOff() error {
	f := readFields(l, 1, 1)
	f.integer("who")
	return f.err
}
