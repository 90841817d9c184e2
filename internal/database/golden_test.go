package database

import (
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/goldentest"
	"lanewheel/internal/transport"
)

// What is asked of the database.
func TestGoldenToDatabase(t *testing.T) {
	file := goldentest.Open(t, "testdata/database_calls.golden")
	for name, limit := range map[string]time.Duration{"call": 1500 * time.Millisecond, "call-late": time.Microsecond} {
		l := transport.NewDetached()
		d := &Conn{Conn: l.Conn}
		d.Call("127.0.0.1:5432", "0123456789abcdef", limit, []byte("statement"))
		output, _ := l.Output()
		file.Check(name, output)
	}
}

// What the database answers. Only 503 and 409 prove that a call never ran.
func TestGoldenFromDatabase(t *testing.T) {
	file := goldentest.Open(t, "testdata/database_replies.golden")
	for _, tc := range []struct {
		name string
		want Reply
	}{
		{"success", Reply{Status: 200, Body: []byte("rows")}},
		{"success-chunked", Reply{Status: 200, Body: []byte("rows")}},
		{"unavailable", Reply{Status: 503, NeverStarted: true, Body: []byte{}}},
		{"conflict", Reply{Status: 409, NeverStarted: true, Body: []byte("x")}},
		{"timeout", Reply{Status: 504, Body: []byte{}}},
		{"failed", Reply{Status: 500, Body: []byte{}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []Reply
			l := transport.NewDetached()
			d := &Conn{Conn: l.Conn}
			handler := d.handler()
			handler.OnUnreadable = func(code string) { t.Error(code) }
			d.SetHandler(handler)
			d.OnReply = func(r Reply) { got = append(got, r) }
			l.Receive(file.Bytes(tc.name))
			if !reflect.DeepEqual(got, []Reply{tc.want}) {
				t.Errorf("read as %+v, want %+v", got, tc.want)
			}
		})
	}
}
