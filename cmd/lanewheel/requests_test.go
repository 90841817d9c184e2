package main

import (
	"fmt"
	"time"

	"lanewheel/internal/fake"
)

// A request's way: read, started, at an upstream call, given the reply, ended, answered.
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

// A request larger than the memory is rejected before it is started; one that takes too long fails and its run is
// stopped, and the end that comes then is no second response. Gauges that never come hold up no response.
func Example_rejectedAndTimedOut() {
	t := deployReady()
	defer t.close()
	_ = t.runtime.Conn.Close()
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
	fmt.Println(s.NextText()[:20]) // the health check's response, no second one of the request; not healthy, as a run hung
	// Output:
	// ['\x01' '\x03' ["Busy" map[]] <nil>]
	// start 4 route pay body ""
	// ['\x01' '\x04' ["Failed" map[]] <nil>]
	// in time: true
	// stop 4
	// ['\x01' '\t' <nil> [
}

// A clock that was set back or forth loses no request: one from far ahead is served, one from long ago rejected at
// once.
func Example_clockSteps() {
	t := deployReady()
	defer t.close()
	s := t.client()
	at := func(off time.Duration) string { return fmt.Sprint(time.Now().Add(off).UnixMilli()) }
	s.Send(
		fake.NewRequest(1, "view", fake.RequestID(1), nil, "at", at(time.Hour)),
		fake.NewRequest(2, "view", fake.RequestID(2), nil, "at", at(-time.Hour)),
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

// A class whose timeout is not configured, or is huge: what callers say of their deadlines and of the work still
// counts.
func Example_unusualTimeouts() {
	for _, told := range []string{``, `"give-up-s":0,`, `"give-up-s":3e9,`, `"give-up-s":1e300,`} {
		t := deployReady(`{"name":"view","credit":1,"promise-s":1,"give-up-s":3,`, `{"name":"view","credit":1,`+told)
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
