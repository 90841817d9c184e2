package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lanewheel/internal/fake"
)

// Example_coalescedReads checks that reads of the same class and resource within the configured time are answered
// with the result of the first one and are not run.
func Example_coalescedReads() {
	t := deployReady("FRESH", "5")
	defer t.close()
	s := t.client()
	s.Send(
		fake.NewRequest(1, "view", fake.RequestID(1), nil, "key", "k"),
		fake.NewRequest(2, "view", fake.RequestID(2), nil, "key", "k"),
		fake.NewRequest(3, "view", fake.RequestID(3), nil, "key", "l"))
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

// Example_duplicateOfAbandonedRead checks a read whose client cancels it, which runs on until the runtime confirms
// the stop. Duplicates that arrived before the cancel get its result; a later duplicate is run itself.
func Example_duplicateOfAbandonedRead() {
	t := deployReady("FRESH", "5")
	defer t.close()
	s := t.client()
	read := func(n int) []any {
		return fake.NewRequest(n, "view", fake.RequestID(n), nil, "key", "k", "kb", "1")
	}
	s.Send(read(1))
	fmt.Println(t.runtime.NextCommand())
	s.Send(read(2))
	s.Send([]any{2, "interrupt", []any{1}})
	fmt.Println(t.runtime.NextCommand())
	s.Send(read(3))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	t.runtime.SendNotice("end", fake.RequestID(3), "success", "three")
	fmt.Println(s.NextText())
	s.Send(read(4))
	fmt.Println(s.NextText())
	// Output:
	// start 1 route view body ""
	// stop 1
	// start 3 route view body ""
	// ['\x01' '\x02' <nil> ["one" map[]]]
	// ['\x01' '\x03' <nil> ["three" map[]]]
	// ['\x01' '\x04' <nil> ["three" map[]]]
}

// Example_duplicatesInFurtherTier checks coalescing in a further tier, whose requests are calls that carry the
// resource key of the request that makes them. Calls with the same key may have different results, so a call is
// answered with the result of another only if their bodies are equal too.
func Example_duplicatesInFurtherTier() {
	t := deployReady("FRESH", "5", `{"classes"`, `{"tier":1,"classes"`)
	defer t.close()
	s := t.client()
	call := func(n int, body string) []any {
		return fake.NewRequest(n, "view", fake.RequestID(n), []byte(body), "key", "k", "kb", "1")
	}
	s.Send(call(1, "lamps"), call(2, "poles"))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(t.runtime.NextCommand())
	s.Send(call(3, "lamps"))
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "of lamps")
	t.runtime.SendNotice("end", fake.RequestID(2), "success", "of poles")
	answers := []string{s.NextText(), s.NextText(), s.NextText()}
	slices.Sort(answers)
	fmt.Println(strings.Join(answers, "\n"))
	// Output:
	// start 1 route view body "lamps"
	// start 2 route view body "poles"
	// ['\x01' '\x01' <nil> ["of lamps" map[]]]
	// ['\x01' '\x02' <nil> ["of poles" map[]]]
	// ['\x01' '\x03' <nil> ["of lamps" map[]]]
}

// Example_duplicateReads checks duplicates of a read that arrive while the first runs, at the moment when it is
// answered, after its run has failed, from another tenant, in another class and after the configured time. Each is
// answered once, with the result of the first or of a run of its own.
func Example_duplicateReads() {
	t := deployReady("FRESH", "2", `"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`)
	defer t.close()
	s := t.client()
	read := func(n int, class, tenant string) []any {
		return fake.NewRequest(n, class, fake.RequestID(n), nil, "key", "k", "tenant", tenant, "kb", "1")
	}
	s.Send(read(1, "view", "water"), read(2, "view", "water"))
	fmt.Println(t.runtime.NextCommand())
	for n := 3; n < 30; n++ { // the end of the run arrives among the duplicates, in any order
		s.Send(read(n, "view", "water"))
		if n == 15 {
			t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
		}
	}
	answers := map[string]int{}
	for range 29 {
		_, result, _ := strings.Cut(s.NextText(), "<nil>")
		answers["<nil>"+result]++
	}
	fmt.Println(answers)
	s.Send(read(60, "view", "roads"), read(61, "list", "water"))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(t.runtime.NextCommand())
	s.Send(read(62, "view", "roads"), read(63, "pay", "roads"))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(60), "failure", "")
	fmt.Println(s.NextText(), s.NextText())
	t.runtime.SendNotice("end", fake.RequestID(61), "success", "three")
	t.runtime.SendNotice("end", fake.RequestID(63), "success", "four")
	fmt.Println(s.NextText(), s.NextText())
	s.Send(read(64, "view", "roads"))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(64), "success", "two")
	fmt.Println(s.NextText())
	// After the configured time the result is dropped, so that a duplicate is run.
	n := 65
	fake.WaitFor("the result to expire", func() bool {
		s.Send(read(n, "view", "roads"))
		n++
		select {
		case message := <-t.runtime.Messages:
			t.runtime.SendNotice("end", message["rid"].(string), "success", "five")
			fmt.Println(message["t"], strings.Contains(s.NextText(), "five"))
			return true
		case <-time.After(20 * time.Millisecond):
			return s.NextText() == ""
		}
	})
	// Output:
	// start 1 route view body ""
	// map[<nil> ["one" map[]]]:29]
	// start 3c route view body ""
	// start 3d route list body ""
	// start 3f route pay body ""
	// ['\x01' '<' ["Failed" map[]] <nil>] ['\x01' '>' ["Failed" map[]] <nil>]
	// ['\x01' '=' <nil> ["three" map[]]] ['\x01' '?' <nil> ["four" map[]]]
	// start 40 route view body ""
	// ['\x01' '@' <nil> ["two" map[]]]
	// start true
}

// Example_retriesByKey checks several attempts of one request that is idempotent by key, each with an id of its own
// and from any client. Only one is run; the others get its result or its failure, while it runs and afterwards. A
// request with another body or class is a different request.
func Example_retriesByKey() {
	t := deployReady(`"repeat":"at_most_once"}`, `"repeat":"deduplicated","dedup-window-s":60}`)
	defer t.close()
	s, other := t.client(), t.client()
	attempt := func(n int, class, body string) []any {
		return fake.NewRequest(n, class, fake.RequestID(n), []byte(body), "kb", "1")
	}
	s.Send(attempt(1, "pay", "x"))
	fmt.Println(t.runtime.NextCommand())
	other.Send(attempt(2, "pay", "x"))
	s.Send(attempt(3, "pay", "y"))
	fmt.Println(t.runtime.NextCommand())
	s.Send(attempt(4, "view", "x"))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(other.CheckHealth())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText(), other.NextText())
	other.Send(attempt(5, "pay", "x"))
	fmt.Println(other.NextText())
	t.runtime.SendNotice("end", fake.RequestID(3), "failure", "")
	fmt.Println(s.NextText())
	other.Send(attempt(6, "pay", "y"))
	fmt.Println(other.NextText())
	s.Send([]any{2, "interrupt", []any{4}})
	fmt.Println(t.runtime.NextCommand(), len(t.runtime.Messages))
	// Output:
	// start 1 route pay body "x"
	// start 3 route pay body "y"
	// start 4 route view body "x"
	// true
	// ['\x01' '\x01' <nil> ["one" map[]]] ['\x01' '\x02' <nil> ["one" map[]]]
	// ['\x01' '\x05' <nil> ["one" map[]]]
	// ['\x01' '\x03' ["Failed" map[]] <nil>]
	// ['\x01' '\x06' ["Failed" map[]] <nil>]
	// stop 4 0
}
