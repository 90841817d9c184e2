package runtimelink

import (
	"fmt"
	"strings"
	"testing"

	"lanewheel/internal/transport"
	"lanewheel/internal/transport/transporttest"
)

// runtimeTrace returns the callbacks of a link as text, one per line. Each piece arrives in one read.
func runtimeTrace(pieces ...[]byte) string {
	var out strings.Builder
	detached := transport.NewDetached()
	conn := &Conn{Conn: detached.Conn}
	handler := conn.handler()
	handler.OnUnreadable = func(code string) { fmt.Fprintln(&out, code) }
	conn.SetHandler(handler)
	conn.OnEvent = func(e Event) {
		fmt.Fprintf(&out, "%s no %d rid %q status %q mark %q after %v bytes %q gauges %v\n",
			e.Kind, e.Sequence, e.RequestID, e.Status, e.CorrelationID, e.Elapsed, e.Body, e.Gauges)
	}
	for _, piece := range pieces {
		detached.Receive(piece)
	}
	return out.String()
}

var runtimeLines = []byte(`{"t":"ready","status":"booting","time_ms":12.5}

{"t":"end","no":3,"rid":"0123456789abcdef","status":"success","time_ms":41,"b64":"AP8="}
` + "\r\n" + ` { "t" : "load", "v": [0.5, 3,1e-1,120], "mark":"a\"\u0041\ud83d\ude00\/",` +
	` "new":{"x":[true,null,{}],"y":-1} }
{"t":"info","no":4,"status":"","b64":""}
`)

// Lines of every form, lines that close the link, and every command.
func Example_lines() {
	fmt.Print(runtimeTrace(runtimeLines))
	for _, malformed := range []string{
		"{}x\n",
		"[1]\n",
		`{"t":"end","b64":"A*"}` + "\n",
		`{"t":"end","no":"x"}` + "\n",
		`{"t"` + "\n",
		`{"a":` + strings.Repeat("[", 40) + "\n",
		`{"a":"\u00"}` + "\n",
		strings.Repeat(" ", transport.BufferSize+1),
	} {
		fmt.Print(runtimeTrace([]byte(malformed)))
	}
	detached := transport.NewDetached()
	conn := &Conn{Conn: detached.Conn}
	conn.Sync(0)
	conn.Start("0123456789abcdef", `a"b`, []byte{0, 255})
	conn.Stop("0123456789abcdef")
	conn.SendCallReply("0123456789abcdef", nil)
	conn.SkipCall("0123456789abcdef", 9)
	conn.RequestGauges("g-1")
	conn.RequestSelfTest("t-2")
	output, _ := detached.Output()
	fmt.Printf("%s", output)
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

func FuzzConn(f *testing.F) {
	transporttest.FuzzSplits(f, runtimeTrace, runtimeLines, []byte("{\"t\":\"x\\\"\n"))
}
