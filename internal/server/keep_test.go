package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/eventloop"
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// Without a link the gauges last heard count for some looks, and then nothing is known.
func Example_oldGauges() {
	instance := &Server{Loop: eventloop.New(9)}
	instance.handleGauges(transport.Event{CorrelationID: "look"})
	instance.gauges[admission.GaugeRunnable] = 3
	for _, at := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		instance.SetNow(at)
		instance.requestGauges(func(gauges admission.Gauges) { fmt.Println(instance.Now(), gauges) })
	}
	// Output:
	// 0s map[runnable:3]
	// 200ms map[runnable:3]
	// 400ms map[]
}

// Buffers of another size are not taken back.
func Example_pool() {
	p := &BufferPool{}
	p.Put(make([]byte, 10))
	b := p.Get()
	fmt.Println(len(b), cap(b) == transport.BufferSize)
	p.Put(append(b, "old"...))
	fmt.Println(len(p.Get()))
	// Output:
	// 0 true
	// 0
}

// A deep check is answered by the runtime's work unless the module says otherwise, and bad when that never ends.
func Example_deepCheck() {
	runtime, _ := net.Listen("tcp", "127.0.0.1:0")
	free, _ := net.Listen("tcp", "127.72.0.1:0") // where no connection of another test takes the port
	free.Close()
	instance, err := New(Config{Name: "n1", ListenAddr: free.Addr().String(), RuntimeAddr: runtime.Addr().String(),
		DatabaseAddr: "127.0.0.1:9", RegistryAddr: "127.0.0.1:9", MaxDescriptors: 64, MemoryMB: 64, Cores: 1,
		Settings: admission.Settings{Cores: 2.0, Classes: []admission.ClassSettings{{Name: "view", LatencyObjective: time.Second}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	go instance.Serve()
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
		instance.Post(func() {
			instance.SetHealth(admission.Health{Healthy: true})
			turned <- instance.runtime.synced
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
	instance.Post(func() { instance.Quit() })
	// Output:
	// 9401ce00000002c092c380 in time: true
	// 9401ce00000003c092c280 in time: true
	// 9401ce00000004c092c280 in time: true
}

// A keyed op's key: in hand it does not age, however short the window; once over it holds for tries that came within it, however late they are
// read. One that never ran leaves none. A read's key is over with its time.
func Example_keysAge() {
	instance := &Server{Loop: eventloop.New(9), config: Config{Settings: admission.Settings{CoalescedReadWindow: 100 * time.Millisecond}}}
	k := &instance.idempotency
	n := 0
	op := func(keyed bool) *activeRequest {
		n++
		active := &activeRequest{id: admission.RequestID(fmt.Sprint(n)), class: "pay", resource: "s", body: []byte("x")}
		active.identity = k.identify(active, frontend.Request{NewIDPerAttempt: true}, keyed)
		return active
	}
	printDuplicate := func(what string, keyed bool, came time.Duration) {
		fmt.Printf("%s, came %v: %q\n", what, came, k.duplicateOf(op(keyed), came))
	}
	first := op(true)
	k.store(instance, first, 200*time.Millisecond)
	first.started = true
	printDuplicate("keyed, in hand", true, 900*time.Millisecond)
	k.finish(instance, first, []byte("one"))
	printDuplicate("keyed, over", true, 199*time.Millisecond)
	printDuplicate("keyed, over", true, 200*time.Millisecond)
	k.forget(first.record)
	second := op(true)
	k.store(instance, second, time.Second)
	k.finish(instance, second, nil)
	printDuplicate("keyed, never ran", true, 0)
	third := op(true)
	third.started = true
	k.store(instance, third, time.Second)
	k.finish(instance, third, nil)
	printDuplicate("keyed, ran and failed", true, 0)
	read := op(false)
	k.store(instance, read, time.Second)
	k.finish(instance, read, []byte("one"))
	printDuplicate("read", false, 99*time.Millisecond)
	printDuplicate("read", false, 100*time.Millisecond)
	// Output:
	// keyed, in hand, came 900ms: "1"
	// keyed, over, came 199ms: "1"
	// keyed, over, came 200ms: ""
	// keyed, never ran, came 0s: ""
	// keyed, ran and failed, came 0s: "7"
	// read, came 99ms: "9"
	// read, came 100ms: ""
}

// printingResponder is owed an answer and prints it.
type printingResponder struct{}

func (printingResponder) Succeed([]byte, frontend.ResponseMetadata) { fmt.Println("answered") }
func (printingResponder) Reject(frontend.ResponseMetadata)          { fmt.Println("turned away") }
func (printingResponder) Fail(frontend.ResponseMetadata)            { fmt.Println("failed") }
func (printingResponder) RejectPermanently(string, frontend.ResponseMetadata) {
	fmt.Println("rejected")
}
func (printingResponder) Done() {}

// The id of an op that is over is sent once more, with something else to say: the key of the first is neither prolonged nor dropped with it.
func Example_idOnceMore() {
	instance := &Server{Loop: eventloop.New(9), config: Config{Settings: admission.Settings{CoalescedReadWindow: 100 * time.Millisecond}}}
	k := &instance.idempotency
	op := func(body string, keyed bool) *activeRequest {
		active := &activeRequest{id: "1", class: "pay", resource: body, body: []byte(body)}
		active.identity = k.identify(active, frontend.Request{NewIDPerAttempt: true}, keyed)
		return active
	}
	for _, keyed := range []bool{true, false} {
		first := op("x", keyed)
		k.store(instance, first, 200*time.Millisecond)
		first.started = true
		k.finish(instance, first, []byte("one"))
		again := op("z", keyed)
		k.store(instance, again, time.Hour)
		k.forget(again.record) // it is turned away
		fmt.Printf("keyed %v: %q, later %q\n", keyed, k.duplicateOf(op("x", keyed), 99*time.Millisecond), k.duplicateOf(op("x", keyed), 201*time.Millisecond))
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
	instance, err := New(Config{Name: "n1", ListenAddr: free.Addr().String(), RuntimeAddr: runtime.Addr().String(), TerminationGrace: time.Second,
		DatabaseAddr: "127.0.0.1:9", RegistryAddr: "127.0.0.1:9", MaxDescriptors: 64, MemoryMB: 64, Cores: 1,
		Settings: admission.Settings{Cores: 2.0, Classes: []admission.ClassSettings{{Name: "view", LatencyObjective: time.Second, Timeout: time.Second}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	served := make(chan bool)
	go func() {
		instance.Serve()
		close(served)
	}()
	link, _ := runtime.Accept()
	for stands := make(chan bool); ; {
		instance.Post(func() { stands <- instance.runtime.conn != nil })
		if <-stands {
			break
		}
	}
	instance.Post(func() {
		instance.Drain()
		instance.handleEvent(transport.Event{Kind: "ready", Status: "steady"})
		instance.Submit(frontend.Request{ID: "0123456789abcdef", Class: "view", SentUnixMilli: time.Now().UnixMilli(), MemoryKB: 1}, nil, printingResponder{})
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
