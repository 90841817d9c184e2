package rpc

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
	"lanewheel/internal/transport/transporttest"
)

// serverTrace returns a text that lists the callbacks of a server that receives the input in these reads.
func serverTrace(reads ...[]byte) string {
	var out strings.Builder
	detached := transport.NewDetached()
	s := NewServerConn(detached.Conn)
	s.OnRequest = func(n uint32, r frontend.Request) {
		fmt.Fprintf(&out, "request %d %s %s sent at %d caller %d tenant %q resource %q body %d\n",
			n, r.Class, r.ID, r.SentUnixMilli, r.Caller, r.Tenant, r.Resource, len(r.Body))
		fmt.Fprintf(&out, "  timeout %v %v work %v %g KB rank %g\n", r.HasTimeout, r.Timeout, r.WorkHint, r.MemoryKB, r.Rank)
	}
	s.OnCancel = func(n uint32) { fmt.Fprintf(&out, "cancel %d\n", n) }
	s.OnHealthCheck = func(n uint32, deep bool) { fmt.Fprintf(&out, "health check %d deep %v\n", n, deep) }
	s.OnProtocolError = func(code string) { fmt.Fprintln(&out, code) }
	for _, b := range reads {
		detached.Receive(b)
	}
	return out.String()
}

// unhex decodes hex, in which spaces are ignored and text in single quotes is copied literally.
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
	// the form in which clients send it: all field values are text
	unhex("94 00 01 a4 'view' 92 8a " + sampleIDField + " a2 'at' ad '1764576000123' a4 'from' a1 '4'" +
		" a6 'tenant' a4 'acme' a4 'wait' a3 '480' a4 'cost' a5 '12.50' a2 'kb' a4 '24.5' a4 'rank' a6 '0.6250'" +
		" a3 'key' a2 'k1' a1 'x' a1 'y' c4 02 ffc1"),
	// all encodings of numbers, unknown fields of all types, long forms of headers
	unhex("dc0004 cc00 cd0102 d904 'view' dd00000002 de0007 d90269 64 da0010 '0123456789abcdef'" +
		" a2 'at' cf0000019adb9bcc7b" +
		" a4 'from' d0 05 a4 'wait' ca43f00000 a4 'cost' cb4029000000000000 a2 'kb' d1 0018 a4 'rank' 00 c5 0001 00"),
	unhex("94 d200000000 ce00010000 a1 'w' 92 df00000006 " + sampleIDField +
		" a1 'a' c0 a1 'b' 92 c3 81 01 c2 a1 'c' d4 0100 a1 'd' c7 02 05 0000" +
		" a1 'e' cfffffffffffffffff c6 00000000"),
	unhex("94 00 07 a5 'check' 91 81 a4 'deep' a1 '1'"), unhex("94 00 08 a5 'check' 91 80"),
	unhex("93 02 a9 'interrupt' 91 07"), unhex("93 02 a9 'interrupt' 91 ff"), unhex("93 02 a4 'what' 92 01 a1 'x'"),
}

// The server decodes messages in all encodings that a client may use.
func Example_clientMessages() {
	fmt.Print(serverTrace(bytes.Join(clientMessages, nil)))
	// Output:
	// request 1 view 0123456789abcdef sent at 1764576000123 caller 4 tenant "acme" resource "k1" body 2
	//   timeout true 480ms work 12.5ms 24.5 KB rank 0.625
	// request 258 view 0123456789abcdef sent at 1764621012091 caller 5 tenant "" resource "" body 1
	//   timeout true 480ms work 12.5ms 24 KB rank 0
	// request 65536 w 0123456789abcdef sent at 0 caller 0 tenant "" resource "" body 0
	//   timeout false 0s work 0s 0 KB rank 0
	// health check 7 deep true
	// health check 8 deep false
	// cancel 7
}

// A token is decoded if ReadTokens is set. Otherwise it is skipped and may be a value of any type.
func Example_token() {
	for _, readTokens := range []bool{false, true} {
		for _, token := range []string{"a3 'abc'", "da 0003 'abc'", "92 c3 c0"} {
			detached := transport.NewDetached()
			detached.Net().ReadTokens.Store(readTokens)
			s := NewServerConn(detached.Conn)
			s.OnRequest = func(_ uint32, request frontend.Request) { fmt.Printf("%v %q\n", readTokens, request.Token) }
			s.OnProtocolError = func(code string) { fmt.Println(readTokens, code) }
			detached.Receive(unhex("94 00 01 a1 'w' 92 82 " + sampleIDField + " a5 'token' " + token + " c4 00"))
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

// A malformed message closes the connection. Messages before it are handled, and input after it is ignored.
func Example_malformedMessages() {
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
	// "cancel 7\nbad-message\n"
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

// The encoded responses and notifications of a server, split before each response.
func Example_responses() {
	detached := transport.NewDetached()
	s := NewServerConn(detached.Conn)
	s.Succeed(7, []byte{0, 255}, frontend.ResponseMetadata{LoadReport: 0.25})
	s.Reject(8, frontend.ResponseMetadata{LoadReport: -1, RetryAfter: 1500000, NoFailover: true})
	s.Fail(9, frontend.ResponseMetadata{LoadReport: -1})
	s.AnswerHealthCheck(10, true, frontend.ResponseMetadata{LoadReport: -1})
	s.GoAway()
	output, _ := detached.Output()
	for _, response := range bytes.SplitAfter(output, []byte{0x94, 1}) {
		fmt.Printf("%+q\n", response)
	}
	s.Succeed(11, make([]byte, 4096), frontend.ResponseMetadata{LoadReport: -1})
	output, flushPending := detached.Output()
	fmt.Println(len(output), cap(output) == transport.BufferSize, flushPending)
	// Output:
	// "\x94\x01"
	// "\xce\x00\x00\x00\a\xc0\x92\xc4\x02\x00\xff\x81\xa3say\xa40.25\x94\x01"
	// "\xce\x00\x00\x00\b\x92\xa4Busy\x82\xa5after\xa12\xa4last\xa11\xc0\x94\x01"
	// "\xce\x00\x00\x00\t\x92\xa6Failed\x80\xc0\x94\x01"
	// "\xce\x00\x00\x00\n\xc0\x92\u00c0\x93\x02\xa6goaway\x90"
	// 4200 true true
}

func FuzzClients(f *testing.F) {
	seeds := append(slices.Clone(clientMessages), bytes.Join(clientMessages, nil))
	seeds = append(seeds, unhex("93 02 a9 'interrupt' 91 07 c1 00"))
	transporttest.FuzzSplits(f, serverTrace, seeds...)
}
