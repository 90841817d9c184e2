package runtimelink

import (
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/goldentest"
	"lanewheel/internal/transport"
)

// The encoding of each command.
func TestGoldenToRuntime(t *testing.T) {
	file := goldentest.Open(t, "testdata/runtime_commands.golden")
	const id = "0123456789abcdef"
	for _, tc := range []struct {
		name  string
		write func(*Conn)
	}{
		{"sync", func(c *Conn) { c.Sync(1<<64 - 1) }},
		{"start", func(c *Conn) { c.Start(id, "a\"b\\\x01\u00e9", []byte{0, 255}) }},
		{"stop", func(c *Conn) { c.Stop(id) }},
		{"give", func(c *Conn) { c.SendCallReply(id, []byte("rows")) }},
		{"omit", func(c *Conn) { c.SkipCall(id, 9) }},
		{"gauges", func(c *Conn) { c.RequestGauges("look-1") }},
		{"selftest", func(c *Conn) { c.RequestSelfTest("test-2") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			detached := transport.NewDetached()
			tc.write(&Conn{Conn: detached.Conn})
			output, _ := detached.Output()
			file.Check(tc.name, output)
		})
	}
}

// The decoding of each kind of event. The line "all" has every defined field, regardless of its kind, and some
// undefined ones. The line "escapes" has all escapes and all literal names of JSON.
func TestGoldenFromRuntime(t *testing.T) {
	file := goldentest.Open(t, "testdata/runtime_notices.golden")
	const id = "0123456789abcdef"
	for _, tc := range []struct {
		name string
		want Event
	}{
		{"ready-booting", Event{Kind: "ready", Status: "booting", Elapsed: 12500 * time.Microsecond}},
		{"ready-steady", Event{Kind: "ready", Status: "steady", Elapsed: 10 * time.Millisecond}},
		{"load", Event{Kind: "load", CorrelationID: "look-1", Gauges: []float64{0.5, 3, 120}}},
		{"verdict", Event{Kind: "verdict", CorrelationID: "test-2", Status: "success"}},
		{"wants", Event{Kind: "wants", Sequence: 4, RequestID: id, Body: []byte("ask")}},
		{"end-success", Event{Kind: "end", Sequence: 5, RequestID: id, Status: "success", Elapsed: 41 * time.Millisecond,
			Body: []byte{0, 255}}},
		{"end-failure", Event{Kind: "end", Sequence: 6, RequestID: id, Status: "failure", Elapsed: 20 * time.Millisecond,
			Body: []byte{}}},
		{"end-interrupted", Event{Kind: "end", Sequence: 7, RequestID: id, Status: "interrupted",
			Elapsed: 20 * time.Millisecond, Body: []byte{}}},
		{"end-nothing", Event{Kind: "end", Sequence: 8, RequestID: id, Status: "nothing"}},
		{"nack", Event{Kind: "nack", Sequence: 9, RequestID: id, Status: "start"}},
		{"info", Event{Kind: "info", Sequence: 10, Status: "any"}},
		{"all", Event{Kind: "k", RequestID: "r", Status: "s", CorrelationID: "m\"A/", Sequence: 11, Elapsed: time.Millisecond,
			Body: []byte("b"), Gauges: []float64{-1.5, 0.1}}},
		{"escapes", Event{Kind: "info", CorrelationID: "\"\\/\b\f\n\r\t\u00e9\U0001f600"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []Event
			detached := transport.NewDetached()
			conn := &Conn{Conn: detached.Conn}
			handler := conn.handler()
			handler.OnUnreadable = func(code string) { t.Error(code) }
			conn.SetHandler(handler)
			conn.OnEvent = func(e Event) { got = append(got, e) }
			detached.Receive(file.Bytes(tc.name))
			if !reflect.DeepEqual(got, []Event{tc.want}) {
				t.Errorf("read as %+v, want %+v", got, tc.want)
			}
		})
	}
}
