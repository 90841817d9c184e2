package main

import (
	"fmt"
	"time"

	"lanewheel/internal/fake"
)

// Example_requestLifecycle checks the stages of a request: it is read and started, makes an upstream call, receives
// the reply, ends and is answered.
func Example_requestLifecycle() {
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

// Example_rejectedAndTimedOut checks that a request larger than the memory is rejected before it is started. A
// request that takes too long fails and its run is stopped; the end of the run that arrives later does not cause a
// second response. Missing gauges of the runtime delay no response.
func Example_rejectedAndTimedOut() {
	t := deployReady()
	defer t.close()
	_ = t.runtime.Conn.Close()
	t.runtime.Silent = true
	t.runtime.Accept()
	t.runtime.SendReady("steady")
	answerFenceMarks(t)
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
	// This is the response to the health check, not a second one to the request. The instance is not healthy, as a
	// run hung.
	fmt.Println(s.NextText()[:20])
	// Output:
	// ['\x01' '\x03' ["Busy" map[]] <nil>]
	// start 4 route pay body ""
	// ['\x01' '\x04' ["Failed" map[]] <nil>]
	// in time: true
	// stop 4
	// ['\x01' '\t' <nil> [
}

// Example_clockSteps checks that every request is answered after a clock step: a request with a time in the future is
// served, and one with a time long ago is rejected at once.
func Example_clockSteps() {
	t := deployReady()
	defer t.close()
	s := t.client()
	at := func(offset time.Duration) string { return fmt.Sprint(time.Now().Add(offset).UnixMilli()) }
	s.Send(
		fake.NewRequest(1, "view", fake.RequestID(1), nil, "at", at(time.Hour)),
		fake.NewRequest(2, "view", fake.RequestID(2), nil, "at", at(-time.Hour)),
		fake.NewRequest(3, "view", fake.RequestID(3), nil, "at", "0"))
	fmt.Println(t.runtime.NextCommand())
	answers := map[string]bool{s.NextText(): true, s.NextText(): true}
	fmt.Println(answers)
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	// Output:
	// start 1 route view body ""
	// map[['\x01' '\x02' ["Busy" map[]] <nil>]:true ['\x01' '\x03' ["Busy" map[]] <nil>]:true]
	// ['\x01' '\x01' <nil> ["one" map[]]]
}

// Example_unusualTimeouts checks classes whose timeout is not configured, zero or huge. Their requests are served,
// with the deadlines and costs that the callers send.
func Example_unusualTimeouts() {
	for _, timeout := range []string{``, `"give-up-s":0,`, `"give-up-s":3e9,`, `"give-up-s":1e300,`} {
		t := deployReady(`{"name":"view","credit":1,"promise-s":1,"give-up-s":3,`, `{"name":"view","credit":1,`+timeout)
		s := t.client()
		s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
		fmt.Print(t.runtime.NextCommand(), " ")
		t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
		fmt.Println(s.NextText())
		t.close()
	}
	// Output:
	// start 1 route view body "" ['\x01' '\x01' <nil> ["one" map[]]]
	// start 1 route view body "" ['\x01' '\x01' <nil> ["one" map[]]]
	// start 1 route view body "" ['\x01' '\x01' <nil> ["one" map[]]]
	// start 1 route view body "" ['\x01' '\x01' <nil> ["one" map[]]]
}
