package wire

import (
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/goldentest"
)

// What is said to the runtime.
func TestGoldenToRuntime(t *testing.T) {
	file := goldentest.Open(t, "testdata/runtime_commands.golden")
	const id = "0123456789abcdef"
	for _, tc := range []struct {
		name  string
		write func(*Runtime)
	}{
		{"sync", func(r *Runtime) { r.Sync(1<<64 - 1) }},
		{"start", func(r *Runtime) { r.Start(id, "a\"b\\\x01\u00e9", []byte{0, 255}) }},
		{"stop", func(r *Runtime) { r.Stop(id) }},
		{"give", func(r *Runtime) { r.Give(id, []byte("rows")) }},
		{"omit", func(r *Runtime) { r.Omit(id, 9) }},
		{"gauges", func(r *Runtime) { r.Gauges("look-1") }},
		{"selftest", func(r *Runtime) { r.Selftest("test-2") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &Runtime{Link: hears()}
			tc.write(r)
			file.Check(tc.name, r.out)
		})
	}
}

// What the runtime says. One line has all fields that are known, whatever kind has them, and some that are not;
// one has all escapes and all words of JSON.
func TestGoldenFromRuntime(t *testing.T) {
	file := goldentest.Open(t, "testdata/runtime_notices.golden")
	const id = "0123456789abcdef"
	for _, tc := range []struct {
		name string
		want Notice
	}{
		{"ready-booting", Notice{Kind: "ready", Status: "booting", Took: 12500 * time.Microsecond}},
		{"ready-steady", Notice{Kind: "ready", Status: "steady", Took: 10 * time.Millisecond}},
		{"load", Notice{Kind: "load", Mark: "look-1", Gauges: []float64{0.5, 3, 120}}},
		{"verdict", Notice{Kind: "verdict", Mark: "test-2", Status: "success"}},
		{"wants", Notice{Kind: "wants", No: 4, ID: id, Bytes: []byte("ask")}},
		{"end-success", Notice{Kind: "end", No: 5, ID: id, Status: "success", Took: 41 * time.Millisecond,
			Bytes: []byte{0, 255}}},
		{"end-failure", Notice{Kind: "end", No: 6, ID: id, Status: "failure", Took: 20 * time.Millisecond, Bytes: []byte{}}},
		{"end-interrupted", Notice{Kind: "end", No: 7, ID: id, Status: "interrupted", Took: 20 * time.Millisecond,
			Bytes: []byte{}}},
		{"end-nothing", Notice{Kind: "end", No: 8, ID: id, Status: "nothing"}},
		{"nack", Notice{Kind: "nack", No: 9, ID: id, Status: "start"}},
		{"info", Notice{Kind: "info", No: 10, Status: "any"}},
		{"all", Notice{Kind: "k", ID: "r", Status: "s", Mark: "m\"A/", No: 11, Took: time.Millisecond, Bytes: []byte("b"),
			Gauges: []float64{-1.5, 0.1}}},
		{"escapes", Notice{Kind: "info", Mark: "\"\\/\b\f\n\r\t\u00e9\U0001f600"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []Notice
			r := &Runtime{Link: hears()}
			r.parse = r.message
			r.fault = func(code string) { t.Error(code) }
			r.OnNotice = func(n Notice) { got = append(got, n) }
			r.read(file.Bytes(tc.name))
			if !reflect.DeepEqual(got, []Notice{tc.want}) {
				t.Errorf("read as %+v, want %+v", got, tc.want)
			}
		})
	}
}
