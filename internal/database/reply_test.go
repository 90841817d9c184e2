package database

import (
	"fmt"
	"strings"
	"testing"

	"lanewheel/internal/transport"
	"lanewheel/internal/transport/transporttest"
)

// databaseTrace returns a text that lists the callbacks of a connection that receives the input in these reads.
func databaseTrace(reads ...[]byte) string {
	var out strings.Builder
	detached := transport.NewDetached()
	conn := &Conn{Conn: detached.Conn}
	handler := conn.handler()
	handler.OnUnreadable = func(code string) { fmt.Fprintln(&out, code) }
	conn.SetHandler(handler)
	conn.OnReply = func(r Reply) {
		fmt.Fprintf(&out, "%d never started %v body %q\n", r.Status, r.NeverStarted, r.Body)
	}
	for _, b := range reads {
		detached.Receive(b)
	}
	return out.String()
}

var databaseReplies = [][]byte{
	[]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" +
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\na\r\n"),
	[]byte("HTTP/1.1 503 \r\nNever-Started: 1\r\nContent-Length: 0\r\n\r\n"),
	[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n1\r\nc\r\n0\r\nSum: 1\r\n\r\n"),
	[]byte("HTTP/1.1 500 No\r\nConnection: close\r\n\r\n"),
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab\x00noiseHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"),
	[]byte("HTTP/1.1 500 No\r\nNever-Started: 1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx"),
}

// One reply is decoded from a connection, regardless of interim replies before it and input after it. A malformed
// reply closes the connection.
func Example_replies() {
	for _, b := range databaseReplies {
		fmt.Print(databaseTrace(b))
	}
	for _, b := range []string{
		"HTTP/1.1 2x0 OK\r\n\r\n",
		"SS",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", transport.BufferSize),
		"HTTP/1.1 200 OK\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nab",
		"HTTP/1.1\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nA: b\x00\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551617\r\n\r\n",
	} {
		fmt.Print(databaseTrace([]byte(b)))
	}
	// Output:
	// 200 never started false body "a\r\n"
	// 503 never started true body ""
	// 200 never started false body "abc"
	// 500 never started false body ""
	// 200 never started false body "ab"
	// 500 never started false body "x"
	// bad-reply
	// bad-reply
	// bad-reply
	// too-long
	// bad-reply
	// too-long
	// bad-reply
	// bad-reply
	// bad-reply
	// too-long
	// bad-reply
	// bad-reply
	// bad-reply
	// bad-reply
	// bad-reply
	// bad-reply
}

func FuzzConn(f *testing.F) {
	transporttest.FuzzSplits(f, databaseTrace, append(databaseReplies, []byte("HTTP/1.1 2\r\n\r\n"))...)
}
