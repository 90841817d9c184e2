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

// readAll gives all that a line tells, as one list, whatever its kind.
func readAll(t *testing.T, text []byte) []any {
	t.Helper()
	var r Parser
	l, err := r.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	told := []any{l.Name}
	add := func(values ...any) {
		if err := values[len(values)-1]; err != nil {
			t.Fatal(err)
		}
		told = append(told, values[:len(values)-1]...)
	}
	if l.Name != "tick" && l.Name != "flush" {
		who, err := l.Instance()
		add(who, err)
	}
	switch l.Name {
	case "tick":
		at, err := l.Tick()
		add(at, err)
	case "flush":
		add(l.CheckFlush())
	case "boot":
		seed, facts, err := l.Boot()
		add(seed, facts, err)
	case "order":
		op, err := l.Order()
		add(op, err)
	case "timeout-fired":
		token, gauges, err := l.TimeoutFired()
		add(token, gauges, err)
	case "blocked", "aborted":
		id, err := l.RequestID()
		add(id, err)
	case "ended":
		id, took, how, err := l.Ended()
		add(id, took, how, err)
	case "call-done":
		id, took, how, err := l.CallDone()
		add(id, took, how, err)
	case "terminate-soon":
		at, err := l.TerminateSoon()
		add(at, err)
	case "power-off":
		add(l.CheckPowerOff())
	default:
		t.Fatalf("unknown line %s", l.Name)
	}
	return told
}

// Each line that the simulator writes, and what it is read as.
func TestGoldenLines(t *testing.T) {
	file := goldentest.Open(t, "testdata/lines.golden")
	for _, tc := range []struct {
		name string
		want []any
	}{
		{"tick", []any{"tick", 5500 * ms}},
		{"flush", []any{"flush"}},
		{"boot", []any{"boot", 3, uint64(12345678901234567890), admission.Settings{Cores: 2.0, Classes: []admission.ClassSettings{
			{Name: "view", Weight: 1.5, LatencyObjective: 300 * ms, Timeout: 1250 * ms}}}}},
		{"order", []any{"order", 3, admission.Request{
			ID: firstID, Class: "view", Rank: 0.625, IsRetry: true, IsWrite: true, Resource: "k1", Caller: 17, HasDeadline: true,
			Deadline: 8650 * ms, WorkHint: 12 * ms, MemoryKB: 24.5, QueueDelay: 1850 * time.Microsecond, Tenant: "acme", DuplicateOf: secondID}}},
		{"order-least", []any{"order", 3, admission.Request{
			ID: firstID, Class: "view", Rank: 0.625, Caller: 17, MemoryKB: 24.5, QueueDelay: 2 * ms}}},
		{"order-hint-not-marked", []any{"order", 3, admission.Request{
			ID: firstID, Class: "view", Rank: 0.625, IsRetry: true, Caller: 17, MemoryKB: 24.5, QueueDelay: 2 * ms}}},
		{"timeout-fired", []any{"timeout-fired", 3, "12", admission.Gauges{
			admission.GaugeBusyCores: 0.5, admission.GaugeRunnable: 3, admission.GaugeUsedMemory: 100,
			admission.GaugeConnections: 7, "other": 1.5}}},
		{"blocked", []any{"blocked", 3, firstID}},
		{"aborted", []any{"aborted", 3, firstID}},
		{"ended", []any{"ended", 3, firstID, 300 * ms, admission.Succeeded}},
		{"call-done", []any{"call-done", 3, firstID, 100 * ms, admission.Failed}},
		{"terminate-soon", []any{"terminate-soon", 3, 9500 * ms}},
		{"power-off", []any{"power-off", 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := readAll(t, file.Bytes(tc.name)); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("read as %+v, want %+v", got, tc.want)
			}
		})
	}
}

// Each code of an outcome, of a run and of a call.
func TestGoldenOutcomes(t *testing.T) {
	codes := map[int]admission.Outcome{0: admission.Succeeded, 1: admission.Stopped, 4: admission.TimedOut, 8: admission.Rejected,
		9: admission.NotStarted, 10: admission.ConnectionLost, 13: admission.Failed, 14: admission.Unreachable}
	var r Parser
	for code := range 256 {
		want, known := codes[code]
		l, err := r.Parse(fmt.Appendf(nil, `["ended",3,%q,0.3,%d]`, firstID, code))
		if err != nil {
			t.Fatal(err)
		}
		if _, _, got, err := l.Ended(); known != (err == nil) || known && got != want {
			t.Errorf("a run's code %d is read as %v, %v", code, got, err)
		}
		if l, err = r.Parse(fmt.Appendf(nil, `["call-done",3,%q,%d,0.3]`, firstID, code)); err != nil {
			t.Fatal(err)
		}
		if _, _, got, err := l.CallDone(); known != (err == nil) || known && got != want {
			t.Errorf("a call's code %d is read as %v, %v", code, got, err)
		}
	}
}

// Each kind of value that a reply may hold.
func TestGoldenReply(t *testing.T) {
	var r Reply
	for range 2 { // one that was closed is begun anew
		r.Append("name", 3, firstID, "a\"b\\<\u00e9\x01", true, false, 0.1234567, 12.0,
			1850*time.Microsecond, -time.Second)
		r.Append("none", 4)
		want := `["name",3,"addf482b5d3a91c4","a\"b\\\u003cé\u0001"` +
			`,true,false,0.123457,12.000000,0.001850,0.000000]` + "\n" +
			`["none",4]` + "\n" + `["eor"]` + "\n"
		if got := string(r.Finish()); got != want {
			t.Errorf("written %s, want %s", got, strings.TrimSpace(want))
		}
	}
}
