package simulator

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
	"lanewheel/internal/settings"
)

// bootEvent starts an instance.
type bootEvent struct {
	seed     uint64
	settings admission.Settings
}

// timerEvent is the firing of a timer, with the gauges measured at that moment.
type timerEvent struct {
	token  string
	gauges admission.Gauges
}

// endEvent is the end of a run or a call.
type endEvent struct {
	id      admission.RequestID
	elapsed time.Duration
	outcome admission.Outcome
}

// decodeInstance returns the number of the instance that a line is for. All lines except tick and flush are for an
// instance.
func decodeInstance(l line) (int, error) {
	f := &fieldReader{line: l}
	const field = "who"
	if len(l.values) == 0 {
		f.fail(field, "present")
	}
	instance := f.integer(field)
	if instance < 0 {
		f.fail(field, "an integer of 0 or more")
	}
	return int(instance), f.err
}

// decodeTick returns the time of the batch that a tick opens.
func decodeTick(l line) (time.Duration, error) {
	f := newFieldReader(l, 1, 1)
	clock := f.duration("clock-s")
	return clock, f.err
}

func checkFlush(l line) error { return newFieldReader(l, 0, 0).err }

func decodeBoot(l line) (bootEvent, error) {
	f := newFieldReader(l, 3, 3)
	f.skipInstance()
	seed := f.unsigned("random-seed")
	info := f.value("boot-info", "an object", fastjson.TypeObject)
	if f.err != nil {
		return bootEvent{}, f.err
	}
	parsed, problems := settings.Parse(info)
	if len(problems) > 0 {
		return bootEvent{}, fmt.Errorf("%s: boot-info: %w", l.name, problems[0])
	}
	return bootEvent{seed: seed, settings: parsed}, nil
}

// The bits of the field "bits" of an order.
const (
	orderHasHint = 1 << iota
	orderIsRetry
	orderIsWrite
)

func decodeOrder(l line) (admission.Request, error) {
	f := newFieldReader(l, 11, 13)
	f.skipInstance()
	request := admission.Request{
		ID:    f.requestID(),
		Class: admission.Class(f.text("priority")),
		Rank:  f.number("place"),
	}
	bits := f.integer("bits")
	request.IsRetry = bits&orderIsRetry != 0
	request.IsWrite = bits&orderIsWrite != 0
	request.Resource = f.optionalText("path-key")
	request.Caller = admission.CallerID(f.integer("from"))
	if deadline := f.optionalNumber("valid-until-s"); deadline > 0 {
		request.HasDeadline = true
		request.Deadline = settings.SecondsToDuration(deadline)
	}
	if hint := f.optionalNumber("expected-s"); bits&orderHasHint != 0 && hint > 0 {
		request.WorkHint = settings.SecondsToDuration(hint)
	}
	request.MemoryKB = f.number("kb")
	request.QueueDelay = f.duration("lay-s")
	request.Tenant = admission.TenantID(f.optionalText("billing"))
	request.DuplicateOf = f.duplicateOf()
	return request, f.err
}

func decodeTimer(l line) (timerEvent, error) {
	f := newFieldReader(l, 3, 3)
	f.skipInstance()
	event := timerEvent{token: f.text("key-back"), gauges: admission.Gauges{}}
	info := f.value("health-info", "an object", fastjson.TypeObject)
	if info != nil {
		info.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			x, err := v.Float64()
			if err != nil {
				f.fail("health-info."+string(key), "a number")
			}
			event.gauges[settings.GaugeName(string(key))] = x
		})
	}
	return event, f.err
}

// decodeRequestID decodes a line that holds only a request id, which is blocked or aborted.
func decodeRequestID(l line) (admission.RequestID, error) {
	f := newFieldReader(l, 2, 2)
	f.skipInstance()
	id := f.requestID()
	return id, f.err
}

func decodeRunEnded(l line) (endEvent, error) {
	f := newFieldReader(l, 4, 4)
	f.skipInstance()
	event := endEvent{id: f.requestID(), elapsed: f.duration("elapsed-s"), outcome: f.outcome()}
	return event, f.err
}

// decodeCallDone decodes the end of a call. Unlike in decodeRunEnded, the outcome precedes the elapsed time.
func decodeCallDone(l line) (endEvent, error) {
	f := newFieldReader(l, 4, 4)
	f.skipInstance()
	event := endEvent{id: f.requestID(), outcome: f.outcome(), elapsed: f.duration("elapsed-s")}
	return event, f.err
}

// decodeTerminateSoon returns the time at which the instance will be killed.
func decodeTerminateSoon(l line) (time.Duration, error) {
	f := newFieldReader(l, 2, 2)
	f.skipInstance()
	killAt := f.duration("valid-until-s")
	return killAt, f.err
}

func checkPowerOff(l line) error {
	f := newFieldReader(l, 1, 1)
	f.skipInstance()
	return f.err
}
