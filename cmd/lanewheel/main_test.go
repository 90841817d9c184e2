package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/fake"
)

func TestMain(m *testing.M) {
	buildProgram()
	code := m.Run()
	os.RemoveAll(tempDir)
	os.Exit(code)
}

// An op's way: read, started, at a call, called, given the reply, ended, answered.
func Example_served() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(7, "view", fake.RequestID(1), []byte("a\xff")))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("wants", fake.RequestID(1), "", "ask")
	call := t.database.NextCall()
	fmt.Println(call.Text)
	call.Reply("200 OK", "", "rows")
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "res\xff")
	fmt.Println(s.NextText())
	s.Send(fake.NewRequest(8, "pay", fake.RequestID(2), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(2), "failure", "")
	fmt.Println(s.NextText())
	// Output:
	// start 1 route view body "a\xff"
	// POST /v1/exec for 1 timed true body "ask"
	// give 1 body "rows"
	// ['\x01' '\a' <nil> ["res\xff" map[]]]
	// start 2 route pay body ""
	// ['\x01' '\b' ["Failed" map[]] <nil>]
}

// An op larger than the memory is nacked unstarted; one that takes too long is given up and its run stopped, and
// the end that comes then is no second answer. Gauges that never come hold up no answer.
func Example_nackedAndGivenUp() {
	t := deployReady()
	defer t.close()
	t.runtime.Conn.Close()
	t.runtime.Silent = true
	t.runtime.Accept()
	t.runtime.SendReady("steady")
	answerFence(t)
	s := t.client()
	s.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil, "kb", "1999"))
	fmt.Println(s.NextText())
	s.Send(fake.NewRequest(4, "pay", fake.RequestID(4), nil, "wait", "300"))
	began := time.Now()
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(s.NextText())
	fmt.Println("in time:", time.Since(began) < 350*time.Millisecond)
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(4), "interrupted", "")
	s.Send([]any{0, 9, "check", []any{map[string]string{}}})
	fmt.Println(s.NextText()[:20]) // the check's answer, no second one of the op; unwell, as a run hung
	// Output:
	// ['\x01' '\x03' ["Busy" map[]] <nil>]
	// start 4 route pay body ""
	// ['\x01' '\x04' ["Failed" map[]] <nil>]
	// in time: true
	// stop 4
	// ['\x01' '\t' <nil> [
}

// answerFence answers the mark behind the replayed notices of a link whose gauges are otherwise left unanswered.
func answerFence(t *deployment) {
	for i := range 9 {
		fmt.Fprintf(t.runtime.Conn, `{"t":"load","mark":"fence-%d","v":[0.1,0]}`+"\n", i)
	}
}

// What each end of a call proves: only a call that never ran is made again for an op that may not run twice.
func Example_calls() {
	t := deployReady()
	defer t.close()
	s := t.client()
	for i, how := range []func(c *fake.Call){
		func(c *fake.Call) { c.Reply("500 Failed", "", "") },
		func(c *fake.Call) { c.Reply("504 Late", "", "") },
		func(c *fake.Call) { c.Conn.Close() },
		func(c *fake.Call) { fmt.Fprint(c.Conn, "what?") },
		func(c *fake.Call) { c.Reply("503 Full", "Never-Started: 1\r\n", "") },
		func(c *fake.Call) { c.Reply("409 None", "Never-Started: 1\r\n", "") },
	} {
		n := i + 1
		s.Send(fake.NewRequest(n, "pay", fake.RequestID(n), nil))
		t.runtime.NextCommand()
		t.runtime.SendNotice("wants", fake.RequestID(n), "", "ask")
		how(t.database.NextCall())
		if i < 4 {
			fmt.Println(s.NextText())
		} else {
			fmt.Println(t.database.NextCall().Text)
			s.Send([]any{2, "interrupt", []any{n}})
		}
		t.runtime.SendNotice("end", fake.RequestID(n), "interrupted", "")
	}
	// each has its own connection, and the run's end gives its call up
	fake.WaitFor("the end of all connections", func() bool { return len(t.database.ConnectionsEnded) == 8 })
	// refused: it never ran, and this type can do without
	t.database.Listener.Close()
	s.Send(fake.NewRequest(9, "list", fake.RequestID(9), nil))
	t.runtime.NextCommand()
	t.runtime.SendNotice("wants", fake.RequestID(9), "", "ask")
	fmt.Println(t.runtime.NextCommand())
	// Output:
	// ['\x01' '\x01' ["Failed" map[]] <nil>]
	// ['\x01' '\x02' ["Failed" map[]] <nil>]
	// ['\x01' '\x03' ["Failed" map[]] <nil>]
	// ['\x01' '\x04' ["Failed" map[]] <nil>]
	// POST /v1/exec for 5 timed true body "ask"
	// POST /v1/exec for 6 timed true body "ask"
	// omit 9 no 13
}

// A link lost with one run at a call whose reply is on its way, one whose end is missed, and one op read without
// a link: on the new one nothing starts twice, and each is answered once.
func Example_lostLink() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil), fake.NewRequest(2, "pay", fake.RequestID(2), []byte("b")))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("wants", fake.RequestID(1), "", "ask")
	call := t.database.NextCall()
	t.runtime.Conn.Close()
	for s.CheckHealth() && t.runtime.NextCommand() != "link closed" {
	}
	call.Reply("200 OK", "", "rows")
	fmt.Println("sync", t.runtime.Accept())
	s.Send(fake.NewRequest(3, "pay", fake.RequestID(3), []byte("c")))
	fmt.Println("deaf link, well:", s.CheckHealth())
	t.runtime.SendReady("steady")
	t.runtime.SendNotice("end", fake.RequestID(2), "success", "two")
	fmt.Println(s.NextText())
	heard := map[string]int{}
	for range 2 {
		heard[t.runtime.NextCommand()]++
	}
	fmt.Println(heard)
	t.runtime.SendNotice("end", fake.RequestID(3), "success", "three")
	fmt.Println(s.NextText())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	t.runtime.Conn.Close()
	fmt.Println("sync", t.runtime.Accept())
	t.runtime.SendReady("steady")
	fmt.Println(s.CheckHealth(), len(t.runtime.Messages))
	// Output:
	// start 1 route pay body ""
	// start 2 route pay body "b"
	// sync 1
	// deaf link, well: true
	// ['\x01' '\x02' <nil> ["two" map[]]]
	// map[give 1 body "rows":1 start 3 route pay body "c":1]
	// ['\x01' '\x03' <nil> ["three" map[]]]
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// sync 4
	// true 0
}

// A stop that the lost link swallowed is sent again; a start that is not carried out ends its op.
func Example_unsentStop() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.Conn.Close()
	fake.WaitFor("the end of the link", func() bool { return t.runtime.NextCommand() == "link closed" })
	s.Send([]any{2, "interrupt", []any{1}})
	fmt.Println(s.CheckHealth(), "sync", t.runtime.Accept())
	t.runtime.SendReady("steady")
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "interrupted", "")
	s.Send(fake.NewRequest(2, "view", fake.RequestID(2), nil))
	fmt.Println(t.runtime.NextCommand())
	fmt.Fprintf(t.runtime.Conn, `{"t":"nack","status":"start","rid":%q}`+"\n", fake.RequestID(2))
	fmt.Println(s.NextText())
	// Output:
	// start 1 route view body ""
	// true sync 0
	// start 1 route view body ""
	// stop 1
	// start 2 route view body ""
	// ['\x01' '\x02' ["Failed" map[]] <nil>]
}

// Crossings: an interrupt with the end, one for an id never seen, a connection that closes with ops open.
func Example_crossings() {
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

// A connection that breaks the protocol fails what is open on it and ends at once; the others go on.
func Example_faults() {
	t := deployReady()
	defer t.close()
	other := t.client()
	for i, bad := range [][]byte{{0xc1}, fake.Encode(nil, fake.NewRequest(1, "view", fake.RequestID(50), nil)), fake.Encode(nil, fake.NewRequest(2, "view", fake.RequestID(3), nil)),
		{0x94, 0, 2, 0xa4, 'v', 'i', 'e', 'w', 0x92, 0x81, 0xa2, 'i', 'd', 0xdb, 0x03, 0x90, 0, 0}} { // 60 MB to come
		s := t.client()
		s.Send(fake.NewRequest(1, "view", fake.RequestID(i+1), nil))
		fmt.Println(t.runtime.NextCommand())
		s.Conn.Write(bad)
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

// What could never be served is answered with an error and does not reach the runtime; a client that goes on so loses its
// connection. An id in hand that comes from elsewhere is nacked, and its first bearer served. Ids that the runtime does
// not know are no failed runs: dozens of them leave the instance well.
func Example_unservable() {
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
		fmt.Fprintf(t.runtime.Conn, `{"t":"nack","status":"start","rid":%q}`+"\n", fake.RequestID(100+i))
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

// Who says nothing, or half an op, is let go in time; whoever has asked once stays.
func Example_silent() {
	t := deployReady()
	defer t.close()
	began := time.Now()
	silent, half, asked := t.client(), t.client(), t.client()
	asked.Send([]any{0, 1, "check", []any{map[string]string{}}})
	asked.NextText()
	half.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand())
	message := fake.Encode(nil, fake.NewRequest(2, "view", fake.RequestID(2), nil))
	half.Conn.Write(message[:len(message)/2])
	fmt.Println(silent.NextText(), half.NextText(), half.NextText())
	fmt.Println(time.Since(began) < 2500*time.Millisecond, asked.CheckHealth())
	// Output:
	// start 1 route view body ""
	// closed ['\x01' '\x01' ["Failed" map[]] <nil>] closed
	// true true
}

// Health is not good, and nothing is taken, before the runtime is up. The roster hears of us each second.
func Example_lateRuntime() {
	t := deploy()
	defer t.close()
	fmt.Println(t.registry.NextReport())
	s := t.client()
	fmt.Println(s.CheckHealth())
	s.Send(fake.NewRequest(7, "view", fake.RequestID(1), nil))
	fmt.Println(s.NextText())
	fmt.Println("sync", t.runtime.Accept())
	t.runtime.SendReady("booting")
	fake.WaitFor("health", func() bool { return s.CheckHealth() })
	began := time.Now()
	fmt.Println(t.registry.NextReport(), time.Since(began) < 1200*time.Millisecond)
	// Output:
	// HERE n1 on
	// false
	// ['\x01' '\a' ["Busy" map[]] <nil>]
	// sync 0
	// HERE n1 on true
}

// A clock that was set back or forth loses no op: one from far ahead is served, one from long ago nacked at once.
func Example_clockSteps() {
	t := deployReady()
	defer t.close()
	s := t.client()
	at := func(off time.Duration) string { return fmt.Sprint(time.Now().Add(off).UnixMilli()) }
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "at", at(time.Hour)), fake.NewRequest(2, "view", fake.RequestID(2), nil, "at", at(-time.Hour)),
		fake.NewRequest(3, "view", fake.RequestID(3), nil, "at", "0"))
	fmt.Println(t.runtime.NextCommand())
	heard := map[string]bool{s.NextText(): true, s.NextText(): true}
	fmt.Println(heard)
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	// Output:
	// start 1 route view body ""
	// map[['\x01' '\x02' ["Busy" map[]] <nil>]:true ['\x01' '\x03' ["Busy" map[]] <nil>]:true]
	// ['\x01' '\x01' <nil> ["one" map[]]]
}

// SIGHUP moves runtime, database and roster. While the file is half written the old ones stay; when it is whole, ops,
// runs and notice numbers carry on at the new ones without another signal. A second move comes before the first is done.
func Example_moved() {
	t := deployReady()
	defer t.close()
	s := t.client()
	old := t.runtime
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(old.NextCommand())
	text := t.movedConfig()
	t.writeConfig(text[:len(text)/2])
	t.sendHangup()
	fake.WaitFor("the half file", func() bool { return strings.Contains(t.log.text(), "msg=configuration-kept") })
	s.Send(fake.NewRequest(2, "pay", fake.RequestID(2), nil))
	fmt.Println(old.NextCommand())
	old.SendNotice("end", fake.RequestID(2), "success", "two")
	fmt.Println(s.NextText())
	t.writeConfig(text)
	fmt.Println("sync", t.runtime.Accept()) // no ready yet, and it moves again
	fmt.Println(old.NextCommand())
	first := t.runtime
	t.writeConfig(t.movedConfig())
	t.sendHangup()
	t.sendHangup()
	fmt.Println("sync", t.runtime.Accept())
	fmt.Println(first.NextCommand())
	t.runtime.SendReady("steady")
	fmt.Println(t.runtime.NextCommand()) // it may have been swallowed; nothing happens if it was not
	t.runtime.LastNotice = 1
	t.runtime.SendNotice("wants", fake.RequestID(1), "", "ask")
	t.database.NextCall().Reply("200 OK", "", "rows")
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	fmt.Println(t.registry.NextReport())
	t.sendTerminate()
	t.writeConfig(t.movedConfig())
	t.sendHangup()
	fmt.Println("sync", t.runtime.Accept())
	s.Close()
	code, log := t.waitExit()
	fmt.Println(code, strings.Count(log, "msg=configuration-kept"), strings.Count(log, "code=address-changed"))
	// Output:
	// start 1 route view body ""
	// start 2 route pay body ""
	// ['\x01' '\x02' <nil> ["two" map[]]]
	// sync 1
	// link closed
	// sync 1
	// link closed
	// start 1 route view body ""
	// give 1 body "rows"
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// HERE n1 on
	// sync 3
	// 0 1 3
}

// Told to go, the instance says so, answers what it has, asks its stubs to go and ends by itself with 0.
func Example_drain() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	t.runtime.NextCommand()
	t.sendTerminate()
	fake.WaitFor("the roster is told", func() bool { return t.registry.NextReport() == "HERE n1 off" })
	t.sendTerminate()
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	s.Send(fake.NewRequest(2, "view", fake.RequestID(2), nil))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(s.NextText())
	fmt.Println(s.NextText())
	s.Close()
	code, log := t.waitExit()
	fmt.Println(code, log[strings.LastIndex(log, "msg="):])
	_, err := net.Dial("tcp", t.listenAddr)
	fmt.Println("refused:", err != nil)
	// Output:
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// start 2 route view body ""
	// ['\x02' "goaway" []]
	// ['\x01' '\x02' ["Busy" map[]] <nil>]
	// 0 msg=stopped connections=0 requests=1
	// refused: true
}

// A stub that connects while the listening socket is being closed is accepted and answered, or refused; SIGTERM
// before the runtime is up ends at once.
func Example_earlyStop() {
	t := deploy()
	defer t.close()
	s := t.client()
	s.CheckHealth()
	t.sendTerminate()
	fmt.Println(s.NextText(), s.NextText())
	code, _ := t.waitExit()
	fmt.Println(code)
	// Output:
	// ['\x02' "goaway" []] closed
	// 0
}

// An unused connection is asked to go and closed; one more op that crosses the asking is served.
func Example_unused() {
	t := deployReady("IDLE", "0.3")
	defer t.close()
	s := t.client()
	fmt.Println(s.NextText())
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	fmt.Println(s.NextText())
	// Output:
	// ['\x02' "goaway" []]
	// start 1 route view body ""
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// closed
}

// More connections than the bound wait in the backlog; those that are unused make room, the silent ones first, and
// one with an open op never.
func Example_descriptors() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand())
	asked := t.client()
	asked.CheckHealth()
	for range 60 { // of 64 descriptors 40 are for stubs
		t.client()
	}
	late := t.client()
	late.Send(fake.NewRequest(1, "view", fake.RequestID(2), nil, "cost", "900"))
	fmt.Println(t.runtime.NextCommand(), asked.CheckHealth())
	t.runtime.SendNotice("end", fake.RequestID(2), "success", "late")
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(late.NextText(), s.NextText())
	fmt.Println(strings.Count(t.log.text(), "\n") < 30)
	// Output:
	// start 1 route view body ""
	// start 2 route view body "" true
	// ['\x01' '\x01' <nil> ["late" map[]]] ['\x01' '\x01' <nil> ["one" map[]]]
	// true
}

// A stub that never reads loses its connection before its answers hold much memory; the others go on.
func Example_neverReads() {
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
			case <-time.After(50 * time.Millisecond): // the module nacked the rest of them
				n = 10
			}
		}
	}
	fmt.Println(other.CheckHealth())
	// Output:
	// true
}

// Hundreds of connections, each with an op, stay far within the memory.
func Example_manyConnections() {
	t := deployReady(`"sockets":64`, `"sockets":1024`)
	defer t.close()
	answered := 0
	for i := range 500 {
		s := t.client()
		defer s.Close()
		s.Send(fake.NewRequest(1, "view", fake.RequestID(i), nil, "kb", "1999"))
		if strings.Contains(s.NextText(), "Busy") {
			answered++
		}
	}
	fmt.Println(answered, t.client().CheckHealth())
	status := string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/status", t.cmd.Process.Pid))))
	_, peak, _ := strings.Cut(status, "VmHWM:")
	kb := fake.Must(strconv.Atoi(strings.Fields(peak)[0]))
	fmt.Println("under 96 MB:", kb < 96<<10)
	// Output:
	// 500 true
	// under 96 MB: true
}

// The roster hears "off" from an instance that is unwell where the list follows health, and "on" when it is back.
func Example_readiness() {
	t := deployReady(`"deep-checks":true`, `"deep-checks":true,"readiness":true`)
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil, "cost", "1")) // a run that hangs
	fmt.Println(t.runtime.NextCommand())
	fake.WaitFor("off", func() bool { return t.registry.NextReport() == "HERE n1 off" })
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "late")
	fmt.Println(s.NextText())
	fake.WaitFor("on", func() bool { return t.registry.NextReport() == "HERE n1 on" })
	// Output:
	// start 1 route pay body ""
	// ['\x01' '\x01' <nil> ["late" map[]]]
}

// Reads of like type and key within the told time get the first one's result, without a run of their own.
func Example_shared() {
	t := deployReady("FRESH", "5")
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "key", "k"), fake.NewRequest(2, "view", fake.RequestID(2), nil, "key", "k"), fake.NewRequest(3, "view", fake.RequestID(3), nil, "key", "l"))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	fmt.Println(s.NextText())
	s.Send(fake.NewRequest(4, "view", fake.RequestID(4), nil, "key", "k"))
	fmt.Println(s.NextText())
	fmt.Println(s.CheckHealth(), len(t.runtime.Messages))
	// Output:
	// start 1 route view body ""
	// start 3 route view body ""
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// ['\x01' '\x02' <nil> ["one" map[]]]
	// ['\x01' '\x04' <nil> ["one" map[]]]
	// true 0
}

// A start that can't be: one line that says why, and a code that is not 0.
func Example_badStart() {
	taken := fake.Must(net.Listen("tcp", "127.0.0.1:0"))
	defer taken.Close()
	good := fmt.Sprintf(`{"name":"n1","listen":%q,"runtime":"127.0.0.1:1","roster":"127.0.0.1:1","db":"127.0.0.1:1",`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":64},"settings":%s}`, taken.Addr(), strings.NewReplacer("IDLE", "1", "FRESH", "0").Replace(fake.Settings))
	for _, text := range []string{`{"name":`, `{}`, strings.Replace(good, `"cores":1`, `"cores":0`, 1),
		strings.Replace(good, `"cpus":2`, `"cpus":"two"`, 1), strings.Replace(good, `"settings"`, `"other"`, 1), good} {
		t := &deployment{log: &logBuffer{}, exited: make(chan struct{})}
		t.start(text)
		code, log := t.waitExit()
		log = strings.ReplaceAll(log, taken.Addr().String(), "ADDR")
		if _, after, found := strings.Cut(log, ".json:"); found {
			log = after
		}
		fmt.Println(code, strings.Count(log, "\n"), log)
	}
	// Output:
	// 1 0  cannot parse JSON: cannot parse object: cannot parse object value: cannot parse empty string; unparsed tail: \"\""
	// 1 0  name: wants text" suppressed=6
	// 1 0 1: limits.cores: is \"0\", wants a number over 0"
	// 1 0 6: settings.domain.cpus: is \"two\", wants another type than string"
	// 1 0  settings: wants an object"
	// 1 0 msg="start failed" err="listen tcp ADDR: bind: address already in use"
}

// runCommand gives the exit code and all that the program prints for a command line.
func runCommand(args ...string) string {
	cmd := exec.Command(binaryPath, args...)
	cmd.Env = []string{"TMPDIR=" + tempDir}
	out, _ := cmd.CombinedOutput()
	return fmt.Sprintf("%d %s", cmd.ProcessState.ExitCode(), strings.ReplaceAll(string(out), tempDir+"/", ""))
}

// The command line: help on every level, files checked with each fault in its place, a wrong word told from a wrong file.
func Example_commandLine() {
	for _, args := range [][]string{{"--help"}, {"check", "--help"}, {"try", "--help"}} {
		text := runCommand(args...)
		fmt.Println(args, text[:2], strings.Contains(text, "Usage: lanewheel"))
	}
	fmt.Println(runCommand("chekc")[:1])
	write := func(name, text string) string {
		path := filepath.Join(tempDir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			panic(err)
		}
		return path
	}
	fmt.Print(runCommand("check", write("good.ini", "; a comment\n[log]\nformat = json\n")))
	fmt.Print(runCommand("check", write("bad.ini", "[log]\nformat = xml\nformt = text\n\n[lgo]\n[log]\n")))
	fmt.Print(runCommand("check", write("bad.json", "{\"name\":\"n1\",\n\"listen\":\"127.0.0.1:1\",\"runtime\":\"r\",\"db\":\"d\",\"roster\":7,\n"+
		"\"limits\":{\"cores\":-1,\n\"memory_mb\":3},\"settings\":{\"classes\":[{\"name\":\"view\"},\n{\"credit\":\"x\"}]}}")))
	// Output:
	// [--help] 0  true
	// [check --help] 0  true
	// [try --help] 0  true
	// 2
	// 0 good.ini: good
	// 1 bad.ini:2: log.format: is "xml", wants one of json, text
	// bad.ini:3: log.formt: is no name of this section; wants format
	// bad.ini:5: lgo: is no section; wants allocator, amqp, caller NAME, callers, coordinator, fleet, log, proxy, queue NAME, role NAME, spillover, tls, tokens, upstream
	// bad.ini:6: log: stands in line 1 already
	// 1 bad.json:2: roster: is "7", wants text
	// bad.json:3: limits.cores: is "-1", wants a number over 0
	// bad.json:3: limits.sockets: wants a number of 32 or more
	// bad.json:4: settings.domain.cpus: wants a number of 1 or more
	// bad.json:5: settings.classes.1.credit: is "x", wants another type than string
}

// A newcomer's first command: it starts, serves, ends with its table, and all that was asked is in it.
func Example_try() {
	text := runCommand("try", "--duration", "1s", "--rate", "100", "--mean-run-time", "1ms")
	lines := strings.Split(strings.TrimSpace(text), "\n")
	fmt.Println(text[:2], strings.Contains(text, "an instance serves at 127.0.0.1:"))
	for _, line := range lines {
		if f := strings.Fields(line); len(f) == 9 && f[0] != "op" {
			n := map[string]int{}
			for i, name := range []string{"asked", "acked", "nacked", "failed", "denied", "unanswered"} {
				n[name] = fake.Must(strconv.Atoi(f[i+1]))
			}
			fmt.Println(f[0], n["asked"] > 10, n["unanswered"], n["asked"] == n["acked"]+n["nacked"]+n["failed"]+n["denied"])
		}
	}
	fmt.Println(strings.HasPrefix(lines[len(lines)-1], "CPU of the instance: "))
	// Output:
	// 0  true
	// view true 0 true
	// pay true 0 true
	// list true 0 true
	// true
}
