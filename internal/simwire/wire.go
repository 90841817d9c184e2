// Package simwire reads and writes the simulator's wire, JSON one array a line, and translates its names
// into those of package choice. It decides nothing.
package simwire

import (
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"lanewheel/choice"
	"lanewheel/internal/facts"
)

// Line is one message. It stays valid until its Reader parses the next.
type Line struct {
	Name string
	vals []*fastjson.Value
}

// Reader parses messages, one a call.
type Reader struct{ parser fastjson.Parser }

// Parse reads one line.
func (r *Reader) Parse(text []byte) (Line, error) {
	if !utf8.Valid(text) {
		return Line{}, errors.New("message is not UTF-8")
	}
	if err := fastjson.ValidateBytes(text); err != nil {
		return Line{}, fmt.Errorf("malformed JSON: %w", err)
	}
	v, err := r.parser.ParseBytes(text)
	if err != nil {
		return Line{}, fmt.Errorf("malformed JSON: %w", err)
	}
	vals, err := v.Array()
	if err != nil || len(vals) == 0 || vals[0].Type() != fastjson.TypeString {
		return Line{}, errors.New("message is not an array that starts with its name")
	}
	return Line{Name: string(vals[0].GetStringBytes()), vals: vals[1:]}, nil
}

// fields walks the values of a line and keeps the first fault.
type fields struct {
	line Line
	next int
	err  error
}

// take checks how many values a line has, leaving out absent ones at its end.
func take(l Line, least, most int) *fields {
	f := &fields{line: l}
	if n := len(l.vals); n < least || n > most {
		f.err = fmt.Errorf("%s: has %d values, wants %d to %d", l.Name, n, least, most)
	}
	return f
}

func (f *fields) value(field string, want string, types ...fastjson.Type) *fastjson.Value {
	i := f.next
	f.next++
	if f.err != nil || i >= len(f.line.vals) {
		return nil
	}
	v := f.line.vals[i]
	for _, t := range types {
		if v.Type() == t {
			return v
		}
	}
	f.fault(field, want)
	return nil
}

func (f *fields) fault(field, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: wants %s", f.line.Name, field, want)
	}
}

func (f *fields) number(field string) float64 {
	v := f.value(field, "a number", fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	x, err := v.Float64()
	if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
		f.fault(field, "a number")
	}
	return x
}

// numberOr0 is for values that may be absent.
func (f *fields) numberOr0(field string) float64 {
	if f.absent() {
		return 0
	}
	return f.number(field)
}

// absent passes over a null and tells so.
func (f *fields) absent() bool {
	if f.next < len(f.line.vals) && f.line.vals[f.next].Type() != fastjson.TypeNull {
		return false
	}
	f.next++
	return true
}

func (f *fields) integer(field string) int64 {
	x := f.number(field)
	if x != math.Trunc(x) || math.Abs(x) > 1<<53 {
		f.fault(field, "an integer")
	}
	return int64(x)
}

// unsigned keeps all the bits of a seed, which a float would not.
func (f *fields) unsigned(field string) uint64 {
	v := f.value(field, "an integer", fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	if u, err := v.Uint64(); err == nil {
		return u
	}
	i, err := v.Int64()
	if err != nil {
		f.fault(field, "an integer")
	}
	return uint64(i)
}

func (f *fields) text(field string) string {
	v := f.value(field, "text", fastjson.TypeString)
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// textOr reads text that may be absent or 0.
func (f *fields) textOr(field string) string {
	if f.absent() {
		return ""
	}
	if v := f.line.vals[f.next]; v.Type() == fastjson.TypeNumber && v.GetFloat64() == 0 {
		f.next++
		return ""
	}
	return f.text(field)
}

func (f *fields) op(field string) choice.RequestID {
	id := f.text(field)
	if f.err == nil && !isHex16(id) {
		f.fault(field, "16 hex digits")
	}
	return choice.RequestID(id)
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

func (f *fields) span(field string) time.Duration {
	x := f.number(field)
	if x < 0 {
		f.fault(field, "a time of 0 or more")
	}
	return facts.SecondsToDuration(x)
}

var endings = map[int64]choice.Outcome{
	0: choice.Succeeded, 13: choice.Failed, 8: choice.Rejected, 4: choice.TimedOut, 14: choice.Unreachable,
	10: choice.ConnectionLost, 1: choice.Stopped, 9: choice.NotStarted,
}

func (f *fields) ending(field string) choice.Outcome {
	e, known := endings[f.integer(field)]
	if !known {
		f.fault(field, "an outcome code")
	}
	return e
}

// Tick reads the clock that opens a batch.
func (l Line) Tick() (time.Duration, error) {
	f := take(l, 1, 1)
	at := f.span("clock-s")
	return at, f.err
}

// Flush checks the line that closes a batch.
func (l Line) Flush() error { return take(l, 0, 0).err }

// Who reads which instance an event is for.
func (l Line) Who() (int, error) {
	f := &fields{line: l}
	if len(l.vals) == 0 {
		f.fault("who", "a value")
	}
	who := f.integer("who")
	if who < 0 {
		f.fault("who", "a small number")
	}
	return int(who), f.err
}

// Boot reads a start: the seed and what the instance is told.
func (l Line) Boot() (uint64, choice.Settings, error) {
	f := take(l, 3, 3)
	f.integer("who")
	seed := f.unsigned("random-seed")
	info := f.value("boot-info", "an object", fastjson.TypeObject)
	if f.err != nil {
		return 0, nil, f.err
	}
	told, err := facts.Parse(info)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: boot-info: %w", l.Name, err)
	}
	return seed, told, nil
}

// Order reads an op.
func (l Line) Order() (choice.Request, error) {
	const hinted, again, writes = 1, 2, 4
	f := take(l, 11, 13)
	f.integer("who")
	a := choice.Request{ID: f.op("tid"), Class: choice.Class(f.text("priority")), Rank: f.number("place")}
	bits := f.integer("bits")
	a.IsRetry, a.IsWrite = bits&again != 0, bits&writes != 0
	a.Resource = f.textOr("path-key")
	a.Caller = choice.CallerID(f.integer("from"))
	if until := f.numberOr0("valid-until-s"); until > 0 {
		a.HasDeadline, a.Deadline = true, facts.SecondsToDuration(until)
	}
	if hint := f.numberOr0("expected-s"); bits&hinted != 0 && hint > 0 {
		a.WorkHint = facts.SecondsToDuration(hint)
	}
	a.MemoryKB, a.QueueDelay = f.number("kb"), f.span("lay-s")
	a.Tenant = choice.TenantID(f.textOr("billing"))
	a.DuplicateOf = choice.RequestID(f.textOr("dup-of"))
	if f.err == nil && a.DuplicateOf != "" && !isHex16(string(a.DuplicateOf)) {
		f.fault("dup-of", "16 hex digits")
	}
	return a, f.err
}

// TimeoutFired reads a timer: its token and the gauges of the moment.
func (l Line) TimeoutFired() (string, map[string]float64, error) {
	f := take(l, 3, 3)
	f.integer("who")
	token := f.text("key-back")
	pairs := f.value("health-info", "an object", fastjson.TypeObject)
	gauges := map[string]float64{}
	if pairs != nil {
		pairs.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			x, err := v.Float64()
			if err != nil {
				f.fault("health-info."+string(key), "a number")
			}
			gauges[facts.GaugeName(string(key))] = x
		})
	}
	return token, gauges, f.err
}

// Op reads an event that only names an op: blocked and aborted.
func (l Line) Op() (choice.RequestID, error) {
	f := take(l, 2, 2)
	f.integer("who")
	id := f.op("tid")
	return id, f.err
}

// Ended reads the end of a run.
func (l Line) Ended() (choice.RequestID, time.Duration, choice.Outcome, error) {
	f := take(l, 4, 4)
	f.integer("who")
	id, took := f.op("tid"), f.span("elapsed-s")
	how := f.ending("how")
	return id, took, how, f.err
}

// CallDone reads the end of a call, whose outcome comes before its time.
func (l Line) CallDone() (choice.RequestID, time.Duration, choice.Outcome, error) {
	f := take(l, 4, 4)
	f.integer("who")
	id, how := f.op("tid"), f.ending("how")
	took := f.span("elapsed-s")
	return id, took, how, f.err
}

// TerminateSoon reads when the instance will be killed.
func (l Line) TerminateSoon() (time.Duration, error) {
	f := take(l, 2, 2)
	f.integer("who")
	at := f.span("valid-until-s")
	return at, f.err
}

// PowerOff checks the word that an instance is dead.
func (l Line) PowerOff() error {
	f := take(l, 1, 1)
	f.integer("who")
	return f.err
}
