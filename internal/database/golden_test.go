package database

import (
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/goldentest"
	"lanewheel/internal/transport"
)

// Calls to the database are encoded as the golden bytes.
func TestGoldenToDatabase(t *testing.T) {
	file := goldentest.Open(t, "testdata/database_calls.golden")
	for name, timeout := range map[string]time.Duration{"call": 1500 * time.Millisecond, "call-late": time.Microsecond} {
		detached := transport.NewDetached()
		conn := &Conn{Conn: detached.Conn}
		conn.Call("127.0.0.1:5432", "0123456789abcdef", timeout, []byte("statement"))
		output, _ := detached.Output()
		file.Check(name, output)
	}
}

// Replies of the database are decoded. Only the statuses 503 and 409 prove that a call never ran.
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
			detached := transport.NewDetached()
			conn := &Conn{Conn: detached.Conn}
			handler := conn.handler()
			handler.OnUnreadable = func(code string) { t.Error(code) }
			conn.SetHandler(handler)
			conn.OnReply = func(r Reply) { got = append(got, r) }
			detached.Receive(file.Bytes(tc.name))
			if !reflect.DeepEqual(got, []Reply{tc.want}) {
				t.Errorf("decoded %+v, want %+v", got, tc.want)
			}
		})
	}
}
