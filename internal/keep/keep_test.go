package keep

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/front"
	"lanewheel/internal/loop"
	"lanewheel/internal/wire"
)

// Without a link the gauges last heard count for some looks, and then nothing is known.
func Example_oldGauges() {
	in := &Instance{Loop: loop.New(9)}
	in.load(wire.Notice{Mark: "look"})
	in.gauges["want a core"] = 3
	for _, at := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		in.Stand(at)
		in.look(func(gauges map[string]float64) { fmt.Println(in.Now(), gauges) })
	}
	// Output:
	// 0s map[want a core:3]
	// 200ms map[want a core:3]
	// 400ms map[]
}

// Buffers of another size are not taken back.
func Example_pool() {
	p := &Pool{}
	p.Give(make([]byte, 10))
	b := p.Take()
	fmt.Println(len(b), cap(b) == wire.BufferSize)
	p.Give(append(b, "old"...))
	fmt.Println(len(p.Take()))
	// Output:
	// 0 true
	// 0
}

// A deep check is answered by the runtime's work unless the module says otherwise, and bad when that never ends.
func Example_deepCheck() {
	runtime, _ := net.Listen("tcp", "127.0.0.1:0")
	free, _ := net.Listen("tcp", "127.72.0.1:0") // where no connection of another test takes the port
	free.Close()
	in, err := Open(Told{Name: "n1", Listen: free.Addr().String(), Runtime: runtime.Addr().String(),
		Database: "127.0.0.1:9", Roster: "127.0.0.1:9", Sockets: 64, MemoryMB: 64, Cores: 1,
		Facts: choice.Settings{"cores": 2.0, "op types": []choice.Settings{{"name": "view", "target latency": time.Second}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	go in.Serve()
	link, _ := runtime.Accept()
	fmt.Fprintln(link, `{"t":"ready","status":"steady"}`)
	asked := make(chan string, 9)
	go func() { // the runtime: answers the gauges and tells of the tests
		for lines := bufio.NewScanner(link); lines.Scan(); {
			_, mark, _ := strings.Cut(lines.Text(), `"mark":`)
			switch {
			case strings.Contains(lines.Text(), "gauges"):
				fmt.Fprintf(link, `{"t":"load","mark":%s,"v":[]}`+"\n", mark[:len(mark)-1])
			case strings.Contains(lines.Text(), "selftest"):
				asked <- mark[:len(mark)-1]
			}
		}
	}()
	conn, _ := net.Dial("tcp", free.Addr().String())
	answer := func() string {
		b := make([]byte, 11)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _ := conn.Read(b)
		return fmt.Sprintf("%x", b[:n])
	}
	check := func(n byte) {
		conn.Write(append([]byte{0x94, 0, n}, "\xa5check\x91\x81\xa4deep\xa11"...))
	}
	good := "94 01 ce 00 00 00 01 c0 92 c3 80"
	for check(1); answer() != strings.ReplaceAll(good, " ", ""); check(1) {
	}
	// health from the state is good before the link is synced; a deep check asks the runtime only after
	for turned := make(chan bool); ; {
		in.Hand(func() {
			in.SetHealth(true, false)
			turned <- in.runtime.synced
		})
		if <-turned {
			break
		}
	}
	for i, verdict := range []string{"success", "failure", ""} {
		check(byte(i + 2))
		mark := ""
		select {
		case mark = <-asked:
		case <-time.After(10 * time.Second):
			fmt.Println("the runtime was not asked")
		}
		began := time.Now()
		if verdict != "" {
			fmt.Fprintf(link, `{"t":"verdict","mark":%s,"status":%q}`+"\n", mark, verdict)
		}
		fmt.Println(answer(), "in time:", time.Since(began) < 1500*time.Millisecond)
	}
	in.Hand(func() { in.Over() })
	// Output:
	// 9401ce00000002c092c380 in time: true
	// 9401ce00000003c092c280 in time: true
	// 9401ce00000004c092c280 in time: true
}

// A keyed op's key: in hand it does not age, however short the window; once over it holds for tries that came within it, however late they are
// read. One that never ran leaves none. A read's key is over with its time.
func Example_keysAge() {
	in := &Instance{Loop: loop.New(9), told: Told{Facts: choice.Settings{"shared reads for": 100 * time.Millisecond}}}
	k := &in.keys
	n := 0
	op := func(keyed bool) *op {
		n++
		o := &op{id: choice.RequestID(fmt.Sprint(n)), kind: "pay", subject: "s", body: []byte("x")}
		o.like = k.like(o, front.Ask{Anew: true}, keyed)
		return o
	}
	say := func(what string, keyed bool, came time.Duration) {
		fmt.Printf("%s, came %v: %q\n", what, came, k.repeated(op(keyed), came))
	}
	first := op(true)
	k.keep(in, first, 200*time.Millisecond)
	first.ran = true
	say("keyed, in hand", true, 900*time.Millisecond)
	k.over(in, first, []byte("one"))
	say("keyed, over", true, 199*time.Millisecond)
	say("keyed, over", true, 200*time.Millisecond)
	k.drop(first.kept)
	second := op(true)
	k.keep(in, second, time.Second)
	k.over(in, second, nil)
	say("keyed, never ran", true, 0)
	third := op(true)
	third.ran = true
	k.keep(in, third, time.Second)
	k.over(in, third, nil)
	say("keyed, ran and failed", true, 0)
	read := op(false)
	k.keep(in, read, time.Second)
	k.over(in, read, []byte("one"))
	say("read", false, 99*time.Millisecond)
	say("read", false, 100*time.Millisecond)
	// Output:
	// keyed, in hand, came 900ms: "1"
	// keyed, over, came 199ms: "1"
	// keyed, over, came 200ms: ""
	// keyed, never ran, came 0s: ""
	// keyed, ran and failed, came 0s: "7"
	// read, came 99ms: "9"
	// read, came 100ms: ""
}

// asker is owed an answer and prints it.
type asker struct{}

func (asker) Answer([]byte, front.With) { fmt.Println("answered") }
func (asker) Refuse(front.With)         { fmt.Println("turned away") }
func (asker) Fail(front.With)           { fmt.Println("failed") }
func (asker) Reject(string, front.With) { fmt.Println("rejected") }
func (asker) Settled()                  {}

// The id of an op that is over is sent once more, with something else to say: the key of the first is neither prolonged nor dropped with it.
func Example_idOnceMore() {
	in := &Instance{Loop: loop.New(9), told: Told{Facts: choice.Settings{"shared reads for": 100 * time.Millisecond}}}
	k := &in.keys
	op := func(body string, keyed bool) *op {
		o := &op{id: "1", kind: "pay", subject: body, body: []byte(body)}
		o.like = k.like(o, front.Ask{Anew: true}, keyed)
		return o
	}
	for _, keyed := range []bool{true, false} {
		first := op("x", keyed)
		k.keep(in, first, 200*time.Millisecond)
		first.ran = true
		k.over(in, first, []byte("one"))
		again := op("z", keyed)
		k.keep(in, again, time.Hour)
		k.drop(again.kept) // it is turned away
		fmt.Printf("keyed %v: %q, later %q\n", keyed, k.repeated(op("x", keyed), 99*time.Millisecond), k.repeated(op("x", keyed), 201*time.Millisecond))
	}
	// Output:
	// keyed true: "1", later ""
	// keyed false: "1", later ""
}

// The runtime comes up behind the notice to leave, in the very batch: what is asked then is turned away, and never sent on.
func Example_readyBehindTheNotice() {
	runtime, _ := net.Listen("tcp", "127.0.0.1:0")
	free, _ := net.Listen("tcp", "127.72.0.2:0") // where no connection of another test takes the port
	free.Close()
	in, err := Open(Told{Name: "n1", Listen: free.Addr().String(), Runtime: runtime.Addr().String(), Stop: time.Second,
		Database: "127.0.0.1:9", Roster: "127.0.0.1:9", Sockets: 64, MemoryMB: 64, Cores: 1,
		Facts: choice.Settings{"cores": 2.0, "op types": []choice.Settings{{"name": "view", "target latency": time.Second, "op timeout": time.Second}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	served := make(chan bool)
	go func() {
		in.Serve()
		close(served)
	}()
	link, _ := runtime.Accept()
	for stands := make(chan bool); ; {
		in.Hand(func() { stands <- in.runtime.conn != nil })
		if <-stands {
			break
		}
	}
	in.Hand(func() {
		in.Leave()
		in.notice(wire.Notice{Kind: "ready", Status: "steady"})
		in.Enter(front.Ask{ID: "0123456789abcdef", Type: "view", At: time.Now().UnixMilli(), KB: 1}, nil, asker{})
	})
	<-served
	_ = link.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // all that was sent lies there by now
	lines := bufio.NewScanner(link)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "start") {
			fmt.Println("sent on")
		}
	}
	// Output:
	// turned away
}
