package drill

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/fake"
)

const testPort = 7999

// linkedPair is a pair of hosts that are connected through a network. Each end counts the datagrams that it receives
// and echoes streams.
type linkedPair struct {
	t        *testing.T
	network  *network
	hosts    [2]string
	udp      [2]*net.UDPConn
	received [2]atomic.Int64 // datagrams
	last     [2]atomic.Value // string: the last datagram and whether it came from the other end's front
}

func newLinkedPair(t *testing.T) *linkedPair {
	t.Helper()
	p := &linkedPair{t: t, network: newNetwork(1, testPort)}
	t.Cleanup(p.network.close)
	for i := range 2 {
		p.hosts[i] = fmt.Sprintf("127.%d.9.%d", 64+os.Getpid()%64, i+1)
		ip := net.ParseIP(p.hosts[i])
		p.udp[i] = fake.Must(net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: testPort}))
		streams := fake.Must(net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: testPort}))
		t.Cleanup(func() {
			_ = p.udp[i].Close()
			_ = streams.Close()
		})
		if err := p.network.addProcess(i, p.hosts[i], p.front(i)); err != nil {
			t.Fatal(err)
		}
		go p.countDatagrams(i)
		go echoStreams(streams)
	}
	return p
}

// front returns the front address of an end.
func (p *linkedPair) front(i int) string { return fmt.Sprintf("127.%d.9.%d", 128+os.Getpid()%64, i+1) }

func (p *linkedPair) countDatagrams(i int) {
	buffer := make([]byte, 2000)
	for {
		size, from, err := p.udp[i].ReadFromUDP(buffer)
		if err != nil {
			return
		}
		fromFront := from.IP.String() == p.front(1-i)
		p.last[i].Store(fmt.Sprintf("%q from the other's front: %v", buffer[:size], fromFront))
		p.received[i].Add(1)
	}
}

func echoStreams(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(connection, connection)
			_ = connection.Close()
		}()
	}
}

// send sends count datagrams from one end to the other.
func (p *linkedPair) send(from, count int) {
	target := &net.UDPAddr{IP: net.ParseIP(p.front(1 - from)), Port: testPort}
	for i := range count {
		if _, err := p.udp[from].WriteToUDP([]byte{'a' + byte(i%26), 'x'}, target); err != nil {
			p.t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

// dial opens a stream from one end to the other.
func (p *linkedPair) dial(from int) (net.Conn, error) {
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.hosts[from])},
		Timeout:   500 * time.Millisecond,
	}
	return dialer.DialContext(p.t.Context(), "tcp", net.JoinHostPort(p.front(1-from), strconv.Itoa(testPort)))
}

// apply adds a fault to the link from the first end to the second. The returned function removes it.
func (p *linkedPair) apply(action config.DrillAction) (undo func()) {
	fault := &config.DrillFault{Action: action, Fraction: 1, BytesPerSecond: 1000, Delay: 30 * time.Millisecond}
	event := Event{Fault: fault, From: []int{0}, To: []int{1}}
	p.network.apply(event)
	event.Undo = true
	return func() { p.network.apply(event) }
}

// TestDatagrams checks that faults affect datagrams in one direction only, and that dropped, corrupted and duplicated
// datagrams are counted.
func TestDatagrams(t *testing.T) {
	p := newLinkedPair(t)
	p.send(0, 1)
	fake.WaitFor("the first datagram", func() bool { return p.received[1].Load() == 1 })
	if got := p.last[1].Load(); got != `"ax" from the other's front: true` {
		t.Fatal(got)
	}
	for _, test := range []datagramTest{
		{action: config.ActionBlackhole, dropped: 10},
		{action: config.ActionRefuse, dropped: 10},
		{action: config.ActionLose, dropped: 10},
		{action: config.ActionDelay, received: 10, minDuration: 30 * time.Millisecond},
		{action: config.ActionDuplicate, received: 20, duplicates: true},
		{action: config.ActionReorder, received: 10, minDuration: 15 * time.Millisecond},
		{action: config.ActionGarble, received: 10, corrupts: true},
	} {
		test.run(t, p)
	}
}

// datagramTest is the expected effect of a fault on ten datagrams.
type datagramTest struct {
	action      config.DrillAction
	received    int64
	dropped     int64
	minDuration time.Duration
	corrupts    bool
	duplicates  bool
}

func (test datagramTest) run(t *testing.T, p *linkedPair) {
	t.Helper()
	forward, backward, before := p.received[1].Load(), p.received[0].Load(), p.network.total()
	undo := p.apply(test.action)
	defer undo()
	startedAt := time.Now()
	p.send(0, 10)
	p.send(1, 3) // the opposite direction is not affected
	fake.WaitFor("datagrams in the opposite direction", func() bool { return p.received[0].Load() == backward+3 })
	if test.received > 0 {
		fake.WaitFor(string(test.action), func() bool { return p.received[1].Load() == forward+test.received })
	} else {
		time.Sleep(20 * time.Millisecond)
	}
	if elapsed := time.Since(startedAt); elapsed < test.minDuration {
		t.Errorf("%s: took %v, want at least %v", test.action, elapsed, test.minDuration)
	}
	after := p.network.total()
	got := datagramTest{
		action:      test.action,
		received:    p.received[1].Load() - forward,
		dropped:     after.dropped - before.dropped,
		minDuration: test.minDuration,
		corrupts:    after.corrupted > before.corrupted,
		duplicates:  after.duplicated > before.duplicated,
	}
	if got != test {
		t.Errorf("%+v, want %+v", got, test)
	}
}

// echo writes to a stream and returns the text that is echoed within a timeout.
func echo(t *testing.T, connection net.Conn, text string, timeout time.Duration) string {
	t.Helper()
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	return readText(t, connection, len(text), timeout)
}

// readText returns up to size bytes that are received within a timeout.
func readText(t *testing.T, connection net.Conn, size int, timeout time.Duration) string {
	t.Helper()
	buffer := make([]byte, size)
	if err := connection.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	n, _ := io.ReadFull(connection, buffer) // the caller detects a short read by comparison
	return string(buffer[:n])
}

// TestStreams checks that streams are forwarded completely, and refused, blackholed until the fault has ended, stalled
// in mid-stream and half-closed by faults, in one direction only.
func TestStreams(t *testing.T) {
	p := newLinkedPair(t)
	stream := fake.Must(p.dial(0))
	if got := echo(t, stream, "hello", time.Second); got != "hello" {
		t.Fatal(got)
	}
	undo := p.apply(config.ActionStall)
	if got := echo(t, stream, "there", 100*time.Millisecond); got != "" {
		t.Fatal("received through a stalled link: ", got)
	}
	undo()
	if got := readText(t, stream, 5, time.Second); got != "there" {
		t.Fatal(got)
	}

	undo = p.apply(config.ActionBlackhole)
	blackholed := fake.Must(p.dial(0))
	if got := echo(t, blackholed, "late", 100*time.Millisecond); got != "" {
		t.Fatal("received through a blackholed link: ", got)
	}
	undo()
	if got := readText(t, blackholed, 4, time.Second); got != "late" {
		t.Fatal(got)
	}

	undo = p.apply(config.ActionHalfClose)
	if err := stream.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // the other end saw the close and closed too
		t.Fatal(err)
	}
	undo()

	undo = p.apply(config.ActionRefuse)
	if refused, err := p.dial(0); err == nil {
		if _, err := refused.Read(make([]byte, 1)); err == nil {
			t.Fatal("a refused stream is open")
		}
	}
	back := fake.Must(p.dial(1))
	if got := echo(t, back, "back", time.Second); got != "back" {
		t.Fatal(got)
	}
	undo()
	total := p.network.total()
	if total.refused != 1 || total.halfClosed != 2 || total.reset != 2 || total.streams != 4 {
		t.Fatal(&total)
	}
}
