package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lanewheel/internal/fake"
)

// Reads of the same class and resource within the configured time get the first one's result, without a run of
// their own.
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

// A read whose caller has left runs on until its stop is confirmed. Duplicates from before that get its result;
// later ones have a run of their own.
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

// The requests of a further tier are calls, which carry the resource of the request that makes them: each has a
// result of its own, and only one with the same body is answered with another's.
func Example_duplicatesInFurtherTier() {
	t := deployReady("FRESH", "5", `{"classes"`, `{"tier":1,"classes"`)
	defer t.close()
	s := t.client()
	call := func(n int, says string) []any {
		return fake.NewRequest(n, "view", fake.RequestID(n), []byte(says), "key", "k", "kb", "1")
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

// A duplicate of a read while the first runs, in the moment in which the first is answered, when its run has
// failed, and from another tenant, in another class, after the configured time: the first's result, or a run of its
// own, and one response each.
func Example_duplicateReads() {
	t := deployReady("FRESH", "2", `"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`)
	defer t.close()
	s := t.client()
	read := func(n int, kind, tenant string) []any {
		return fake.NewRequest(n, kind, fake.RequestID(n), nil, "key", "k", "tenant", tenant, "kb", "1")
	}
	s.Send(read(1, "view", "water"), read(2, "view", "water"))
	fmt.Println(t.runtime.NextCommand())
	for n := 3; n < 30; n++ { // the end and repeats cross, in any order
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
	// Past the configured time the result is dropped: some duplicate runs.
	n := 65
	fake.WaitFor("the end of its time", func() bool {
		s.Send(read(n, "view", "roads"))
		n++
		select {
		case line := <-t.runtime.Messages:
			t.runtime.SendNotice("end", line["rid"].(string), "success", "five")
			fmt.Println(line["t"], strings.Contains(s.NextText(), "five"))
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

// Attempts of one request that is idempotent by key, each under an id of its own and by whichever client: one runs.
// The others get its result, while it runs and afterwards, or its failure. Another body, or another class, is
// another request.
func Example_retriesByKey() {
	t := deployReady(`"repeat":"at_most_once"}`, `"repeat":"deduplicated","dedup-window-s":60}`)
	defer t.close()
	s, other := t.client(), t.client()
	try := func(n int, kind, body string) []any {
		return fake.NewRequest(n, kind, fake.RequestID(n), []byte(body), "kb", "1")
	}
	s.Send(try(1, "pay", "x"))
	fmt.Println(t.runtime.NextCommand())
	other.Send(try(2, "pay", "x"))
	s.Send(try(3, "pay", "y"))
	fmt.Println(t.runtime.NextCommand())
	s.Send(try(4, "view", "x"))
	fmt.Println(t.runtime.NextCommand())
	fmt.Println(other.CheckHealth())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText(), other.NextText())
	other.Send(try(5, "pay", "x"))
	fmt.Println(other.NextText())
	t.runtime.SendNotice("end", fake.RequestID(3), "failure", "")
	fmt.Println(s.NextText())
	other.Send(try(6, "pay", "y"))
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
