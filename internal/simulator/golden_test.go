package simulator

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/goldentest"
)

const (
	ms       = time.Millisecond
	firstID  = admission.RequestID("addf482b5d3a91c4")
	secondID = admission.RequestID("bbbf482b5d3a91c4")
)

func parseLine(t *testing.T, text []byte) line {
	t.Helper()
	var p lineParser
	l, err := p.parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// decoded is the content of a line of any kind.
type decoded struct {
	name     string
	instance int
	event    any
}

// decode decodes a line with the functions that a simulation uses.
func decode(t *testing.T, text []byte) decoded {
	t.Helper()
	l := parseLine(t, text)
	result := decoded{name: l.name}
	var err error
	if l.name != lineTick && l.name != lineFlush {
		if result.instance, err = decodeInstance(l); err != nil {
			t.Fatal(err)
		}
	}
	switch l.name {
	case lineTick:
		result.event, err = decodeTick(l)
	case lineFlush:
		err = checkFlush(l)
	case lineBoot:
		result.event, err = decodeBoot(l)
	case lineOrder:
		result.event, err = decodeOrder(l)
	case lineTimer:
		result.event, err = decodeTimer(l)
	case lineBlocked, lineAborted:
		result.event, err = decodeRequestID(l)
	case lineRunEnded:
		result.event, err = decodeRunEnded(l)
	case lineCallDone:
		result.event, err = decodeCallDone(l)
	case lineTerminateSoon:
		result.event, err = decodeTerminateSoon(l)
	case linePowerOff:
		err = checkPowerOff(l)
	default:
		t.Fatalf("unknown line name %q", l.name)
	}
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The decoding of each kind of line that the simulator sends.
func TestGoldenLines(t *testing.T) {
	file := goldentest.Open(t, "testdata/lines.golden")
	for _, tc := range []struct {
		name string
		want decoded
	}{
		{"tick", decoded{"tick", 0, 5500 * ms}},
		{"flush", decoded{"flush", 0, nil}},
		{"boot", decoded{"boot", 3, bootEvent{seed: 12345678901234567890, settings: admission.Settings{
			Cores: 2,
			Classes: []admission.ClassSettings{
				{Name: "view", Weight: 1.5, LatencyObjective: 300 * ms, Timeout: 1250 * ms},
			},
		}}}},
		{"order", decoded{"order", 3, admission.Request{
			ID:          firstID,
			Class:       "view",
			Rank:        0.625,
			IsRetry:     true,
			IsWrite:     true,
			Resource:    "k1",
			Caller:      17,
			HasDeadline: true,
			Deadline:    8650 * ms,
			WorkHint:    12 * ms,
			MemoryKB:    24.5,
			QueueDelay:  1850 * time.Microsecond,
			Tenant:      "acme",
			DuplicateOf: secondID,
		}}},
		{"order-least", decoded{"order", 3, admission.Request{
			ID: firstID, Class: "view", Rank: 0.625, Caller: 17, MemoryKB: 24.5, QueueDelay: 2 * ms,
		}}},
		{"order-hint-not-marked", decoded{"order", 3, admission.Request{
			ID: firstID, Class: "view", Rank: 0.625, IsRetry: true, Caller: 17, MemoryKB: 24.5, QueueDelay: 2 * ms,
		}}},
		{"timeout-fired", decoded{"timeout-fired", 3, timerEvent{token: "12", gauges: admission.Gauges{
			admission.GaugeBusyCores:   0.5,
			admission.GaugeRunnable:    3,
			admission.GaugeUsedMemory:  100,
			admission.GaugeConnections: 7,
			"other":                    1.5,
		}}}},
		{"blocked", decoded{"blocked", 3, firstID}},
		{"aborted", decoded{"aborted", 3, firstID}},
		{"ended", decoded{"ended", 3, endEvent{firstID, 300 * ms, admission.Succeeded}}},
		{"call-done", decoded{"call-done", 3, endEvent{firstID, 100 * ms, admission.Failed}}},
		{"terminate-soon", decoded{"terminate-soon", 3, 9500 * ms}},
		{"power-off", decoded{"power-off", 3, nil}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := decode(t, file.Bytes(tc.name)); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("decoded as %+v, want %+v", got, tc.want)
			}
		})
	}
}

// The decoding of each outcome code, for runs and for calls.
func TestGoldenOutcomes(t *testing.T) {
	codes := map[int]admission.Outcome{
		0:  admission.Succeeded,
		1:  admission.Stopped,
		4:  admission.TimedOut,
		8:  admission.Rejected,
		9:  admission.NotStarted,
		10: admission.ConnectionLost,
		13: admission.Failed,
		14: admission.Unreachable,
	}
	for code := range 256 {
		want, valid := codes[code]
		run, err := decodeRunEnded(parseLine(t, fmt.Appendf(nil, `["ended",3,%q,0.3,%d]`, firstID, code)))
		if valid != (err == nil) || valid && run.outcome != want {
			t.Errorf("code %d of a run is decoded as %v, error %v", code, run.outcome, err)
		}
		call, err := decodeCallDone(parseLine(t, fmt.Appendf(nil, `["call-done",3,%q,%d,0.3]`, firstID, code)))
		if valid != (err == nil) || valid && call.outcome != want {
			t.Errorf("code %d of a call is decoded as %v, error %v", code, call.outcome, err)
		}
	}
}

// The encoding of each kind of value in a reply.
func TestGoldenReply(t *testing.T) {
	var r reply
	for range 2 { // finish resets the reply, so that it can be used again
		r.action("name", 3).id(firstID).text("a\"b\\<\u00e9\x01").flag(true).flag(false).number(0.1234567).number(12).
			seconds(1850 * time.Microsecond).seconds(-time.Second).end()
		r.action("none", 4).end()
		want := `["name",3,"addf482b5d3a91c4","a\"b\\\u003cé\u0001"` +
			`,true,false,0.123457,12.000000,0.001850,0.000000]` + "\n" +
			`["none",4]` + "\n" + `["eor"]` + "\n"
		if got := string(r.finish()); got != want {
			t.Errorf("the reply is %s, want %s", got, strings.TrimSpace(want))
		}
	}
}
