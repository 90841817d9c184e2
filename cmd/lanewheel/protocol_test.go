package main

import (
	"fmt"
	"net"
	"strings"
	"time"

	"lanewheel/internal/fake"
)

// A cancel that crosses the end, one for an id that was never seen, a connection that closes with pending requests.
func Example_cancelCrossings() {
	t := deployReady()
	defer t.close()
	s, other := t.client(), t.client()
	s.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil))
	other.Send(fake.NewRequest(1, "view", fake.RequestID(2), nil))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	s.Send([]any{2, "interrupt", []any{1}}, []any{2, "interrupt", []any{99}})
	fmt.Println(s.NextText())
	other.Close()
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(2), "success", "two")
	fmt.Println(s.CheckHealth())
	// Output:
	// start 1 route pay body ""
	// start 2 route view body ""
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// stop 2
	// true
}

// A connection that breaks the protocol has what is pending on it fail and is closed at once; the others go on.
func Example_protocolErrors() {
	t := deployReady()
	defer t.close()
	other := t.client()
	for i, bad := range [][]byte{
		{0xc1},
		fake.Encode(nil, fake.NewRequest(1, "view", fake.RequestID(50), nil)),
		fake.Encode(nil, fake.NewRequest(2, "view", fake.RequestID(3), nil)),
		{0x94, 0, 2, 0xa4, 'v', 'i', 'e', 'w', 0x92, 0x81, 0xa2, 'i', 'd', 0xdb, 0x03, 0x90, 0, 0}} { // 60 MB to come
		s := t.client()
		s.Send(fake.NewRequest(1, "view", fake.RequestID(i+1), nil))
		fmt.Println(t.runtime.NextCommand())
		_, _ = s.Conn.Write(bad)
		fmt.Println(s.NextText(), s.NextText(), t.runtime.NextCommand())
		t.runtime.SendNotice("end", fake.RequestID(i+1), "interrupted", "")
	}
	s := t.client()
	var many [][]any
	for i := range 33 {
		many = append(many, fake.NewRequest(i, "view", fake.RequestID(100+i), nil, "kb", "0.1"))
	}
	s.Send(many...)
	fake.WaitFor("the end of a crowd", func() bool { return strings.Contains(t.log.text(), "too-many-pending") })
	fmt.Println(other.CheckHealth())
	t.sendTerminate()
	_, log := t.waitExit()
	for _, code := range []string{"bad-message", "duplicate-message-id", "duplicate-request-id", "too-many-pending"} {
		fmt.Println(code, strings.Count(log, code))
	}
	// Output:
	// start 1 route view body ""
	// ['\x01' '\x01' ["Failed" map[]] <nil>] closed stop 1
	// start 2 route view body ""
	// ['\x01' '\x01' ["Failed" map[]] <nil>] closed stop 2
	// start 3 route view body ""
	// ['\x01' '\x01' ["Failed" map[]] <nil>] closed stop 3
	// start 4 route view body ""
	// ['\x01' '\x01' ["Failed" map[]] <nil>] closed stop 4
	// true
	// bad-message 2
	// duplicate-message-id 1
	// duplicate-request-id 1
	// too-many-pending 1
}

// What could never be served fails and does not reach the runtime; a client that goes on so loses its connection.
// An id in flight that comes by another connection is rejected, and its first bearer served. Ids that the runtime
// does not know are no failed runs: dozens of them leave the instance healthy.
//
//nolint:lll // a line of the trace is long
func Example_invalidRequests() {
	t := deployReady(`"tenants":[]`, `"tenants":[{"name":"acme"}]`)
	defer t.close()
	s, bad := t.client(), t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "tenant", "acme"))
	fmt.Println(t.runtime.NextCommand())
	bad.Send(fake.NewRequest(1, "view", fake.RequestID(1), []byte("other"), "tenant", "acme"))
	fmt.Println(bad.NextText())
	for i, fields := range [][]string{{"tenant", "none"}, {"kb", "0"}, {"kb", "2000"}, {"rank", "1"},
		{"from", "-1"}, {"from", "9007199254740992"}, {"cost", "99999999"}, {"wait", "999999999999"}} {
		bad.Send(fake.NewRequest(i+2, "view", fake.RequestID(i+2), nil, append([]string{"tenant", "acme"}, fields...)...))
		fmt.Print(" ", i, bad.NextText())
	}
	fmt.Println("", bad.NextText())
	for i := range 30 {
		bad = t.client()
		bad.Send(fake.NewRequest(1, "view", fake.RequestID(100+i), nil, "tenant", "acme"))
		t.runtime.NextCommand()
		_, _ = fmt.Fprintf(t.runtime.Conn, `{"t":"nack","status":"start","rid":%q}`+"\n", fake.RequestID(100+i))
		if i == 0 {
			fmt.Print(bad.NextText(), " ")
		}
		fake.WaitFor("its end", func() bool { return bad.NextText() == "closed" })
	}
	bad = t.client()
	bad.Send(fake.NewRequest(1, "what", fake.RequestID(1), nil))
	fmt.Println(bad.NextText(), s.CheckHealth(), len(t.runtime.Messages))
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText(), strings.Contains(t.log.text(), "failing"))
	// Output:
	// start 1 route view body ""
	// ['\x01' '\x01' ["Busy" map[]] <nil>]
	//  0['\x01' '\x02' ["Failed" map[]] <nil>] 1['\x01' '\x03' ["Failed" map[]] <nil>] 2['\x01' '\x04' ["Failed" map[]] <nil>] 3['\x01' '\x05' ["Failed" map[]] <nil>] 4['\x01' '\x06' ["Failed" map[]] <nil>] 5['\x01' '\a' ["Failed" map[]] <nil>] 6['\x01' '\b' ["Failed" map[]] <nil>] 7['\x01' '\t' ["Failed" map[]] <nil>] closed
	// ['\x01' '\x01' ["Failed" map[]] <nil>] ['\x01' '\x01' ["Busy" map[]] <nil>] true 0
	// ['\x01' '\x01' <nil> ["one" map[]]] false
}

// A client that never reads loses its connection before its responses hold much memory; the others go on.
func Example_clientNeverReads() {
	t := deployReady()
	defer t.close()
	deaf, other := t.client(), t.client()
	_ = deaf.Conn.(*net.TCPConn).SetReadBuffer(4096)
	result := strings.Repeat("x", 4096)
	ended := func() bool { return strings.Contains(t.log.text(), "never-reads") }
	for i := 0; !ended(); i++ {
		if i == 3000 { // as many rounds of 10 results are 120 MiB, far more than the kernel takes
			panic("unread answers pile up")
		}
		var b []byte
		for n := range 10 {
			b = fake.Encode(b, fake.NewRequest(10*i+n, "view", fake.RequestID(10*i+n), nil, "kb", "1", "cost", "900"))
		}
		_, _ = deaf.Conn.Write(b) // fails once the connection is lost
		for n := 0; n < 10 && !ended(); {
			select {
			case line := <-t.runtime.Messages:
				if line["t"] == "start" {
					t.runtime.SendNotice("end", line["rid"].(string), "success", result)
					n++
				}
			case <-time.After(50 * time.Millisecond): // the rest of them were rejected
				n = 10
			}
		}
	}
	fmt.Println(other.CheckHealth())
	// Output:
	// true
}

// A client that closes its side of the connection and waits for the responses: the protocol knows no such end (a
// client closes once everything is answered), and it is taken for its leaving, at once: its run is stopped, nothing
// is answered, and its connection is closed.
func Example_halfClosed() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	if err := s.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		panic(err)
	}
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	fmt.Println(t.client().CheckHealth())
	// Output:
	// start 1 route view body ""
	// stop 1
	// closed
	// true
}
