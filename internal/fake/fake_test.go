package fake

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"
)

// dial connects to a fake; the connection is closed when the test ends.
func dial(t *testing.T, network, addr string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), network, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Encode writes each value in a MessagePack format that an instance reads.
func TestEncode(t *testing.T) {
	for want, value := range map[string]any{
		"c0":                                 nil,
		"ce00000102":                         258,
		"d90161":                             "a",
		"c500020001":                         []byte{0, 1},
		"92ce00000001c0":                     []any{1, nil},
		"81d90161d90162":                     map[string]string{"a": "b"},
		"da0100" + strings.Repeat("61", 256): strings.Repeat("a", 256),
	} {
		if got := fmt.Sprintf("%x", Encode(nil, value)); got != want {
			t.Errorf("%v: got %s, want %s", value, got, want)
		}
	}
}

// A message in the formats that an instance writes is decoded; a message truncated at any byte returns an error.
func TestDecode(t *testing.T) {
	message := []byte("\x94\x01\xce\x00\x00\x00\x07\xc0\x93\xc4\x02\x00\xff\xc5\x00\x01a\x82\xa3say\xa40.25\xa4last\xc3")
	want := []any{1, 7, nil, []any{[]byte{0, 255}, []byte("a"), map[string]any{"say": "0.25", "last": true}}}
	got, err := decode(bufio.NewReader(bytes.NewReader(message)))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %#v, %v, want %#v", got, err, want)
	}
	for size := range message {
		if got, err := decode(bufio.NewReader(bytes.NewReader(message[:size]))); err == nil {
			t.Errorf("message truncated to %d bytes was decoded as %#v", size, got)
		}
	}
	if _, err := decode(bufio.NewReader(strings.NewReader("\xc1"))); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("unknown tag: got error %v, want one other than EOF", err)
	}
}

// A response carries the number of its request and its result or error; any other message has number 0.
func TestNextResponse(t *testing.T) {
	near, far := net.Pipe()
	client := NewClient(near)
	defer client.Close()
	go func() {
		_, _ = far.Write([]byte("\x94\x01\x07\x92\xa4Busy\x81\xa5after\xa12\xc0"))
		_, _ = far.Write([]byte("\x94\x01\x08\xc0\x92\xc4\x01r\x80"))
		_, _ = far.Write([]byte("\x93\x02\xa6goaway\x90"))
		_ = far.Close()
	}()
	for _, want := range []Response{
		{Number: 7, Error: "Busy", Fields: map[string]any{"after": "2"}},
		{Number: 8, Result: []byte("r"), Fields: map[string]any{}},
		{},
	} {
		if got, err := client.NextResponse(); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
	if got := client.NextText(); got != "closed" {
		t.Errorf("after the end of the connection: got %s, want closed", got)
	}
}

// NextReport returns the reports one at a time, in the order of their arrival.
func TestRegistry(t *testing.T) {
	registry := NewRegistry()
	defer registry.Close()
	reports := dial(t, "udp", registry.Addr())
	for _, want := range []string{"HERE a on", "HERE a off"} {
		if _, err := reports.Write([]byte(want)); err != nil {
			t.Fatal(err)
		}
		if got := registry.NextReport(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// A call is described as text and can be answered; the end of its connection is reported.
func TestDatabase(t *testing.T) {
	database := NewDatabase()
	defer func() { _ = database.Listener.Close() }()
	conn := dial(t, "tcp", database.Addr())
	head := "POST /v1/exec HTTP/1.1\r\nHost: a\r\nRequest-Ref: 0007\r\nStatement-Timeout-Ms: 5\r\n"
	if _, err := io.WriteString(conn, head+"Content-Length: 2\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	call := database.NextCall()
	if want := `POST /v1/exec for 7 timed true body "ab"`; call.Text != want {
		t.Errorf("got %s, want %s", call.Text, want)
	}
	call.Reply("503 No", "Never-Started: 1\r\n", "x")
	reply := make([]byte, 100)
	n, err := conn.Read(reply)
	want := "HTTP/1.1 503 No\r\nNever-Started: 1\r\nContent-Length: 1\r\n\r\nx"
	if err != nil || string(reply[:n]) != want {
		t.Errorf("got %q, %v, want %q", reply[:n], err, want)
	}
	_ = conn.Close()
	<-database.ConnectionsEnded
}

// runtimeLink is the instance's end of a link to a fake runtime.
type runtimeLink struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func linkTo(t *testing.T, runtime *Runtime) *runtimeLink {
	conn := dial(t, "tcp", runtime.Addr())
	link := &runtimeLink{t: t, conn: conn, reader: bufio.NewReader(conn)}
	link.send(`{"t":"sync","no":5}`)
	if got := runtime.Accept(); got != 5.0 {
		t.Fatalf("synchronized with %v, want 5", got)
	}
	return link
}

func (l *runtimeLink) send(line string) {
	l.t.Helper()
	if _, err := io.WriteString(l.conn, line+"\n"); err != nil {
		l.t.Fatal(err)
	}
}

func (l *runtimeLink) next() map[string]any {
	l.t.Helper()
	_ = l.conn.SetReadDeadline(time.Now().Add(WaitTimeout))
	line, err := l.reader.ReadBytes('\n')
	if err != nil {
		l.t.Fatal(err)
	}
	var message map[string]any
	if err := json.Unmarshal(line, &message); err != nil {
		l.t.Fatal(err)
	}
	return message
}

func (l *runtimeLink) expect(kind, id, status string) {
	l.t.Helper()
	message := l.next()
	if message["t"] != kind || message["rid"] != id || message["status"] != status {
		l.t.Errorf("got %v, want %s %s %s", message, kind, id, status)
	}
}

// In scripted mode the test receives every message except requests for gauges, which are answered automatically, and
// the end of the link is reported.
func TestRuntimeByScript(t *testing.T) {
	runtime := NewRuntime()
	defer func() { _ = runtime.Listener.Close() }()
	link := linkTo(t, runtime)
	link.send(`{"t":"gauges","mark":"g"}`)
	if got := link.next(); got["t"] != "load" || got["mark"] != "g" {
		t.Errorf("reply to gauges: got %v, want load with mark g", got)
	}
	link.send(`{"t":"start","rid":"0007","route":"view","b64":"YQ=="}`)
	if got, want := runtime.NextCommand(), `start 7 route view body "a"`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	runtime.SendReady("steady")
	if got := link.next(); got["t"] != "ready" || got["status"] != "steady" {
		t.Errorf("got %v, want ready with status steady", got)
	}
	runtime.SendNotice("end", "0007", "success", "r")
	if got := link.next(); got["no"] != 1.0 || got["b64"] != "cg==" {
		t.Errorf("first notice: got %v, want no 1 and b64 cg==", got)
	}
	_ = link.conn.Close()
	if got := runtime.NextCommand(); got != "link closed" {
		t.Errorf("after the end of the link: got %s, want link closed", got)
	}
}

// After AutoRun the runtime executes the started runs on its one core and makes a call in every third run.
func TestAutoRun(t *testing.T) {
	runtime := NewRuntime()
	defer func() { _ = runtime.Listener.Close() }()
	link := linkTo(t, runtime)
	started := make(chan string, 9)
	runtime.AutoRun(1, time.Millisecond, 1, func(id, class, body string) { started <- id + class + body })
	for _, id := range []string{"a", "b"} {
		link.send(`{"t":"start","rid":"` + id + `","route":"view","b64":"eA=="}`)
		link.expect("end", id, "success")
	}
	link.send(`{"t":"start","rid":"c","route":"view","b64":""}`)
	link.expect("wants", "c", "")
	link.send(`{"t":"start","rid":"c","route":"view","b64":""}`) // a retransmission: the run is executed once
	link.send(`{"t":"give","rid":"c","b64":""}`)
	link.expect("end", "c", "success")
	link.send(`{"t":"selftest","mark":"s"}`)
	if got := link.next(); got["t"] != "verdict" || got["mark"] != "s" || got["status"] != "success" {
		t.Errorf("reply to a self-test: got %v, want verdict with mark s and status success", got)
	}
	for _, want := range []string{"aviewx", "bviewx", "cview"} {
		if got := <-started; got != want {
			t.Errorf("started %s, want %s", got, want)
		}
	}
}

// Each run has the faults that are set when it starts. A lost run sends no notice, even after a stop; another run that
// is stopped ends as interrupted.
func TestRuntimeFaults(t *testing.T) {
	runtime := NewRuntime()
	defer func() { _ = runtime.Listener.Close() }()
	faults := make(chan RuntimeFaults, 9)
	runtime.Faults = func() RuntimeFaults { return <-faults }
	link := linkTo(t, runtime)
	started := make(chan string, 9)
	runtime.AutoRun(1, time.Millisecond, 1, func(id, _, _ string) {
		time.Sleep(10 * time.Millisecond) // a notice that is sent before the start is recorded arrives in this time
		started <- id
	})
	faults <- RuntimeFaults{FailRuns: true}
	link.send(`{"t":"start","rid":"a"}`)
	link.expect("end", "a", "failure")
	if len(started) != 1 {
		t.Error("the end of a run arrived before its start was recorded")
	}
	faults <- RuntimeFaults{LoseRuns: true}
	link.send(`{"t":"start","rid":"b"}`)
	link.send(`{"t":"stop","rid":"b"}`)
	faults <- RuntimeFaults{}
	link.send(`{"t":"start","rid":"c"}`)
	link.expect("wants", "c", "") // the lost run b has sent nothing
	link.send(`{"t":"stop","rid":"c"}`)
	link.expect("end", "c", "interrupted")
}
