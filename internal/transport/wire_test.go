package transport

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
)

type unpooledBuffers struct{}

func (unpooledBuffers) Get() []byte { return make([]byte, 0, BufferSize) }
func (unpooledBuffers) Put([]byte)  {}

// newTestConn gives a link that reads without a socket, its calls made at once.
func newTestConn() *Conn {
	return &Conn{net: &Net{BufferPool: unpooledBuffers{}, PostRead: func(calls ...func()) {
		for _, call := range calls {
			call()
		}
	}}}
}

func serverTrace(pieces ...[]byte) string {
	var out strings.Builder
	s := newTestConn().ServerConn()
	s.OnRequest = func(n uint32, a Request) {
		fmt.Fprintf(&out, "op %d %s %s at %d from %d waits %v %v cost %v %g KB rank %g tenant %q subject %q body %d\n",
			n, a.Class, a.ID, a.SentUnixMilli, a.Caller, a.HasTimeout, a.Timeout, a.WorkHint, a.MemoryKB, a.Rank, a.Tenant, a.Resource, len(a.Body))
	}
	s.OnCancel = func(n uint32) { fmt.Fprintf(&out, "interrupt %d\n", n) }
	s.OnHealthCheck = func(n uint32, deep bool) { fmt.Fprintf(&out, "check %d deep %v\n", n, deep) }
	s.OnProtocolError = func(code string) { fmt.Fprintln(&out, code) }
	for _, b := range pieces {
		s.received(b)
	}
	return out.String()
}

func runtimeTrace(pieces ...[]byte) string {
	var out strings.Builder
	r := &RuntimeConn{Conn: newTestConn()}
	r.parse = r.parseLine
	r.onUnreadable = func(code string) { fmt.Fprintln(&out, code) }
	r.OnEvent = func(n Event) {
		fmt.Fprintf(&out, "%s no %d rid %q status %q mark %q after %v bytes %q gauges %v\n",
			n.Kind, n.Sequence, n.RequestID, n.Status, n.CorrelationID, n.Elapsed, n.Body, n.Gauges)
	}
	for _, b := range pieces {
		r.received(b)
	}
	return out.String()
}

func databaseTrace(pieces ...[]byte) string {
	var out strings.Builder
	d := &DatabaseConn{Conn: newTestConn()}
	d.parse = d.parseReply
	d.onUnreadable = func(code string) { fmt.Fprintln(&out, code) }
	d.OnReply = func(r Reply) {
		fmt.Fprintf(&out, "%d never started %v body %q\n", r.Status, r.NeverStarted, r.Body)
	}
	for _, b := range pieces {
		d.received(b)
	}
	return out.String()
}

// unhex reads hex with spaces, and text in single quotes as it stands.
func unhex(s string) (b []byte) {
	for i, part := range strings.Split(s, "'") {
		if i%2 == 1 {
			b = append(b, part...)
			continue
		}
		x, err := hex.DecodeString(strings.ReplaceAll(part, " ", ""))
		if err != nil {
			panic(err)
		}
		b = append(b, x...)
	}
	return b
}

const sampleIDField = "a2 'id' b0 '0123456789abcdef'"

var clientMessages = [][]byte{
	// as stubs write it: all fields are text
	unhex("94 00 01 a4 'view' 92 8a " + sampleIDField + " a2 'at' ad '1764576000123' a4 'from' a1 '4' a6 'tenant' a4 'acme'" +
		" a4 'wait' a3 '480' a4 'cost' a5 '12.50' a2 'kb' a4 '24.5' a4 'rank' a6 '0.6250' a3 'key' a2 'k1' a1 'x' a1 'y' c4 02 ffc1"),
	// numbers in all their forms, unknown fields of all kinds, wide heads
	unhex("dc0004 cc00 cd0102 d904 'view' dd00000002 de0007 d90269 64 da0010 '0123456789abcdef' a2 'at' cf0000019adb9bcc7b" +
		" a4 'from' d0 05 a4 'wait' ca43f00000 a4 'cost' cb4029000000000000 a2 'kb' d1 0018 a4 'rank' 00 c5 0001 00"),
	unhex("94 d200000000 ce00010000 a1 'w' 92 df00000006 " + sampleIDField + " a1 'a' c0 a1 'b' 92 c3 81 01 c2 a1 'c' d4 0100 a1 'd' c7 02 05 0000" +
		" a1 'e' cfffffffffffffffff c6 00000000"),
	unhex("94 00 07 a5 'check' 91 81 a4 'deep' a1 '1'"), unhex("94 00 08 a5 'check' 91 80"),
	unhex("93 02 a9 'interrupt' 91 07"), unhex("93 02 a9 'interrupt' 91 ff"), unhex("93 02 a4 'what' 92 01 a1 'x'"),
}

// Every form that a message can take.
func Example_stubs() {
	fmt.Print(serverTrace(bytes.Join(clientMessages, nil)))
	// Output:
	// op 1 view 0123456789abcdef at 1764576000123 from 4 waits true 480ms cost 12.5ms 24.5 KB rank 0.625 tenant "acme" subject "k1" body 2
	// op 258 view 0123456789abcdef at 1764621012091 from 5 waits true 480ms cost 12.5ms 24 KB rank 0 tenant "" subject "" body 1
	// op 65536 w 0123456789abcdef at 0 from 0 waits false 0s cost 0s 0 KB rank 0 tenant "" subject "" body 0
	// check 7 deep true
	// check 8 deep false
	// interrupt 7
}

// A token is read where callers are known, and may have any form where they are not.
func Example_token() {
	for _, known := range []bool{false, true} {
		for _, token := range []string{"a3 'abc'", "da 0003 'abc'", "92 c3 c0"} {
			l := newTestConn()
			l.net.ReadTokens.Store(known)
			s := l.ServerConn()
			s.OnRequest = func(_ uint32, a Request) { fmt.Printf("%v %q\n", known, a.Token) }
			s.OnProtocolError = func(code string) { fmt.Println(known, code) }
			s.received(unhex("94 00 01 a1 'w' 92 82 " + sampleIDField + " a5 'token' " + token + " c4 00"))
		}
	}
	// Output:
	// false ""
	// false ""
	// false ""
	// true "abc"
	// true "abc"
	// true bad-message
}

// What can't be read ends the connection; what came before it counts, and nothing behind it does.
func Example_hostileStubs() {
	for _, b := range [][]byte{
		unhex("93 02 a9 'interrupt' 91 07 c1 93 02 a9 'interrupt' 91 08"),
		unhex("94 00 01 a1 'w' 92 80 c4 00"),
		unhex("94 00 01 a1 'w' 92 81 " + sampleIDField + " c5 0801" + strings.Repeat("00", 2049)),
		unhex("94 00 01 a1 'w' 92 81 " + sampleIDField + " c6 7fffffff"),
		unhex("94 00 01 a1 'w' 93"),
		unhex("94 00 ff a1 'w' 92"),
		unhex("94 00 01 a1 'w' 92 82 " + sampleIDField + " a2 'kb' cb7ff8000000000001 c4 00"),
		unhex("94 00 01 a1 'w' 92 82 " + sampleIDField + " a2 'kb' a3 'big' c4 00"),
		unhex("94 00 01 a1 'w' 92 81 a1 'x' " + strings.Repeat("91", 40)),
		unhex("94 00 01 a1 'w' 92 df00ffffff" + strings.Repeat("a0a0", 5000)),
		[]byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		fmt.Printf("%q\n", serverTrace(b))
	}
	// Output:
	// "interrupt 7\nbad-message\n"
	// "bad-message\n"
	// "bad-message\n"
	// "bad-message\n"
	// "bad-message\n"
	// "bad-message\n"
	// "bad-message\n"
	// "bad-message\n"
	// "bad-message\n"
	// "too-long\n"
	// "bad-message\n"
}

// What we write to a stub, in one piece with the codes of the bytes.
func Example_answers() {
	l := newTestConn()
	s := l.ServerConn()
	s.Succeed(7, []byte{0, 255}, ResponseMetadata{LoadReport: 0.25})
	s.Reject(8, ResponseMetadata{LoadReport: -1, RetryAfter: 1500000, NoFailover: true})
	s.Fail(9, ResponseMetadata{LoadReport: -1})
	s.AnswerHealthCheck(10, true, ResponseMetadata{LoadReport: -1})
	s.GoAway()
	fmt.Printf("%+q\n", l.output)
	s.Succeed(11, make([]byte, 4096), ResponseMetadata{LoadReport: -1})
	fmt.Println(len(l.output), cap(l.output) == BufferSize, l.flushPending, len(l.net.unflushed))
	// Output:
	// "\x94\x01\xce\x00\x00\x00\a\xc0\x92\xc4\x02\x00\xff\x81\xa3say\xa40.25\x94\x01\xce\x00\x00\x00\b\x92\xa4Busy\x82\xa5after\xa12\xa4last\xa11\xc0\x94\x01\xce\x00\x00\x00\t\x92\xa6Failed\x80\xc0\x94\x01\xce\x00\x00\x00\n\xc0\x92\u00c0\x93\x02\xa6goaway\x90"
	// 4200 true true 1
}

var runtimeLines = []byte(`{"t":"ready","status":"booting","time_ms":12.5}
{"t":"end","no":3,"rid":"0123456789abcdef","status":"success","time_ms":41,"b64":"AP8="}
` + "\r\n" + ` { "t" : "load", "v": [0.5, 3,1e-1,120], "mark":"a\"\u0041\ud83d\ude00\/", "new":{"x":[true,null,{}],"y":-1} }
{"t":"info","no":4,"status":"","b64":""}
`)

func Example_runtime() {
	fmt.Print(runtimeTrace(runtimeLines))
	for _, b := range []string{"{}x\n", "[1]\n", `{"t":"end","b64":"A*"}` + "\n", `{"t":"end","no":"x"}` + "\n", `{"t"` + "\n",
		`{"a":` + strings.Repeat("[", 40) + "\n", `{"a":"\u00"}` + "\n", strings.Repeat(" ", BufferSize+1)} {
		fmt.Print(runtimeTrace([]byte(b)))
	}
	r := &RuntimeConn{Conn: newTestConn()}
	r.Sync(0)
	r.Start("0123456789abcdef", `a"b`, []byte{0, 255})
	r.Stop("0123456789abcdef")
	r.SendCallReply("0123456789abcdef", nil)
	r.SkipCall("0123456789abcdef", 9)
	r.RequestGauges("g-1")
	r.RequestSelfTest("t-2")
	fmt.Printf("%s", r.output)
	// Output:
	// ready no 0 rid "" status "booting" mark "" after 12.5ms bytes "" gauges []
	// end no 3 rid "0123456789abcdef" status "success" mark "" after 41ms bytes "\x00\xff" gauges []
	// load no 0 rid "" status "" mark "a\"A😀/" after 0s bytes "" gauges [0.5 3 0.1 120]
	// info no 4 rid "" status "" mark "" after 0s bytes "" gauges []
	// bad-line
	// bad-line
	// bad-line
	// bad-line
	// bad-line
	// bad-line
	// bad-line
	// too-long
	// {"t":"sync","no":0}
	// {"t":"start","rid":"0123456789abcdef","route":"a\"b","b64":"AP8="}
	// {"t":"stop","rid":"0123456789abcdef"}
	// {"t":"give","rid":"0123456789abcdef","b64":""}
	// {"t":"omit","rid":"0123456789abcdef","no":9}
	// {"t":"gauges","mark":"g-1"}
	// {"t":"selftest","mark":"t-2"}
}

var databaseReplies = [][]byte{
	[]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\na\r\n"),
	[]byte("HTTP/1.1 503 \r\nNever-Started: 1\r\nContent-Length: 0\r\n\r\n"),
	[]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n1\r\nc\r\n0\r\nSum: 1\r\n\r\n"),
	[]byte("HTTP/1.1 500 No\r\nConnection: close\r\n\r\n"),
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab\x00noiseHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"),
	[]byte("HTTP/1.1 500 No\r\nNever-Started: 1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx"),
}

// One reply is taken from a connection, whatever comes before or behind it; spoilt ones are none.
func Example_database() {
	for _, b := range databaseReplies {
		fmt.Print(databaseTrace(b))
	}
	for _, b := range []string{"HTTP/1.1 2x0 OK\r\n\r\n", "SS", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", BufferSize), "HTTP/1.1 200 OK\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nab", "HTTP/1.1\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nA: b\x00\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551617\r\n\r\n"} {
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

// However the bytes are split across reads, the same is read.
func fuzzSplits(f *testing.F, trace func(...[]byte) string, seeds ...[]byte) {
	for _, b := range seeds {
		f.Add(b, 1)
		f.Add(b, 7)
	}
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		if len(b) >= BufferSize || size < 1 {
			return
		}
		var pieces [][]byte
		for rest := b; len(rest) > 0; {
			n := min(size, len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		if whole, split := trace(b), trace(pieces...); whole != split {
			t.Errorf("whole:\n%ssplit:\n%s", whole, split)
		}
	})
}

func FuzzStubs(f *testing.F) {
	fuzzSplits(f, serverTrace, append(clientMessages, bytes.Join(clientMessages, nil), unhex("93 02 a9 'interrupt' 91 07 c1 00"))...)
}
func FuzzRuntime(f *testing.F) { fuzzSplits(f, runtimeTrace, runtimeLines, []byte("{\"t\":\"x\\\"\n")) }
func FuzzDatabase(f *testing.F) {
	fuzzSplits(f, databaseTrace, append(databaseReplies, []byte("HTTP/1.1 2\r\n\r\n"))...)
}
