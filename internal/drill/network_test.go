package drill

import (
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

// pair is two ends with links between them, that count what comes.
type pair struct {
	l     *network
	hosts [2]string
	udp   [2]*net.UDPConn
	tcp   [2]net.Listener
	came  [2]atomic.Int64
	last  [2]atomic.Value
}

const port = 7999

func newPair() *pair {
	p := &pair{l: newNetwork(1, port)}
	for i := range 2 {
		p.hosts[i] = fmt.Sprintf("127.%d.9.%d", 64+os.Getpid()%64, i+1)
		ip := net.ParseIP(p.hosts[i])
		p.udp[i] = fake.Must(net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: port}))
		p.tcp[i] = fake.Must(net.Listen("tcp", fmt.Sprintf("%s:%d", p.hosts[i], port)))
		if err := p.l.addProcess(i, p.hosts[i], p.front(i)); err != nil {
			panic(err)
		}
		go func() {
			b := make([]byte, 2000)
			for {
				n, from, err := p.udp[i].ReadFromUDP(b)
				if err != nil {
					return
				}
				p.last[i].Store(fmt.Sprintf("%q from the other's front: %v", b[:n], from.IP.String() == p.front(1-i)))
				p.came[i].Add(1)
			}
		}()
		go func() {
			for {
				c, err := p.tcp[i].Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c); c.Close() }()
			}
		}()
	}
	return p
}

func (p *pair) front(i int) string { return fmt.Sprintf("127.%d.9.%d", 128+os.Getpid()%64, i+1) }

func (p *pair) send(from int, n int) {
	for k := range n {
		_, _ = p.udp[from].WriteToUDP([]byte{'a' + byte(k%26), 'x'}, &net.UDPAddr{IP: net.ParseIP(p.front(1 - from)), Port: port})
		time.Sleep(time.Millisecond)
	}
}

func (p *pair) dial(from int) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.hosts[from])}, Timeout: 500 * time.Millisecond}
	return d.Dial("tcp", net.JoinHostPort(p.front(1-from), strconv.Itoa(port)))
}

func (p *pair) close() {
	p.l.close()
	for i := range 2 {
		p.udp[i].Close()
		p.tcp[i].Close()
	}
}

func (p *pair) put(do string, share float64, undo bool) *config.DrillFault {
	f := &config.DrillFault{Action: do, Fraction: share, BytesPerSecond: 1000, Delay: 30 * time.Millisecond}
	p.l.apply(Event{Fault: f, From: []int{0}, To: []int{1}})
	return f
}

// Each fault on datagrams does what it says, one way only, and counts it.
func TestDatagrams(t *testing.T) {
	p := newPair()
	defer p.close()
	p.send(0, 1)
	fake.WaitFor("the first", func() bool { return p.came[1].Load() == 1 })
	if got := p.last[1].Load(); got != `"ax" from the other's front: true` {
		t.Fatal(got)
	}
	for _, x := range []struct {
		do       string
		came     int64 // of ten
		lost     int64
		slower   time.Duration
		garbled  bool
		doubling bool
	}{{"swallow", 0, 10, 0, false, false}, {"refuse", 0, 10, 0, false, false}, {"lose", 0, 10, 0, false, false}, {"delay", 10, 0, 30 * time.Millisecond, false, false},
		{"duplicate", 20, 0, 0, false, true}, {"reorder", 10, 0, 15 * time.Millisecond, false, false}, {"garble", 10, 0, 0, true, false}} {
		before, back, sum := p.came[1].Load(), p.came[0].Load(), p.l.total()
		f := p.put(x.do, 1, false)
		began := time.Now()
		p.send(0, 10)
		p.send(1, 3) // the way back is as it was
		fake.WaitFor("the way back", func() bool { return p.came[0].Load() == back+3 })
		if x.came > 0 {
			fake.WaitFor(x.do, func() bool { return p.came[1].Load() == before+x.came })
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(began); took < x.slower {
			t.Fatal(x.do, took)
		}
		now := p.l.total()
		if p.came[1].Load() != before+x.came || now.dropped-sum.dropped != x.lost || now.corrupted > sum.corrupted != x.garbled || now.duplicated > sum.duplicated != x.doubling {
			t.Fatal(x.do, p.came[1].Load()-before, now)
		}
		p.l.apply(Event{Fault: f, Undo: true, From: []int{0}, To: []int{1}})
	}
}

// Streams: carried whole; refused; swallowed until the fault is over; stalled in the middle; halved.
func TestStreams(t *testing.T) {
	p := newPair()
	defer p.close()
	echo := func(c net.Conn, text string, within time.Duration) string {
		fmt.Fprint(c, text)
		b := make([]byte, len(text))
		_ = c.SetReadDeadline(time.Now().Add(within))
		n, _ := io.ReadFull(c, b)
		return string(b[:n])
	}
	over := func(f *config.DrillFault) { p.l.apply(Event{Fault: f, Undo: true, From: []int{0}, To: []int{1}}) }
	c := fake.Must(p.dial(0))
	if got := echo(c, "hello", time.Second); got != "hello" {
		t.Fatal(got)
	}
	f := p.put("stall", 1, false)
	if got := echo(c, "there", 100*time.Millisecond); got != "" {
		t.Fatal("stalled, and came: ", got)
	}
	over(f)
	b := make([]byte, 5)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if n, _ := io.ReadFull(c, b); string(b[:n]) != "there" {
		t.Fatal(string(b[:n]))
	}
	f = p.put("swallow", 1, false)
	s := fake.Must(p.dial(0))
	if got := echo(s, "late", 100*time.Millisecond); got != "" {
		t.Fatal("swallowed, and came: ", got)
	}
	over(f)
	_ = s.SetReadDeadline(time.Now().Add(time.Second))
	if n, _ := io.ReadFull(s, b[:4]); string(b[:n]) != "late" {
		t.Fatal(string(b[:n]))
	}
	f = p.put("half-close", 1, false)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(b); err != io.EOF { // the other end heard an end, and gave one
		t.Fatal(err)
	}
	over(f)
	f = p.put("refuse", 1, false)
	if r, err := p.dial(0); err == nil {
		if _, err := r.Read(b); err == nil {
			t.Fatal("refused, and stands")
		}
	}
	r := fake.Must(p.dial(1)) // the other way is as it was
	if got := echo(r, "back", time.Second); got != "back" {
		t.Fatal(got)
	}
	over(f)
	if sum := p.l.total(); sum.refused != 1 || sum.halfClosed != 2 || sum.reset != 2 || sum.streams != 4 {
		t.Fatal(sum)
	}
}
