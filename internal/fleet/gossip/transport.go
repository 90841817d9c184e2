package gossip

import (
	"bytes"
	"log"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"lanewheel/internal/logline"
)

// transport is the library's own, which dials from the address that it listens on, so that whoever stands between knows both ends,
// counts what goes over it, and tells who was heard.
type transport struct {
	*memberlist.NetTransport
	from    net.IP
	heard   func(sender string)
	packets chan *memberlist.Packet
	streams chan net.Conn
	muted   atomic.Bool // Danger: one that hears nobody tells all that all are gone; it keeps that to itself
	over    chan struct{}
	once    sync.Once

	in, out, inBytes, outBytes, kept atomic.Uint64
}

func newTransport(ip net.IP, port int, logger *log.Logger, heard func(string)) (*transport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{ip.String()}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, err
	}
	t := &transport{NetTransport: inner, from: ip, heard: heard, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), over: make(chan struct{})}
	go func() {
		for {
			select {
			case p := <-inner.PacketCh():
				t.in.Add(1)
				t.inBytes.Add(uint64(len(p.Buf)))
				heard(host(p.From.String()))
				select {
				case t.packets <- p:
				case <-t.over:
					return
				}
			case c := <-inner.StreamCh():
				heard(host(c.RemoteAddr().String()))
				select {
				case t.streams <- c:
				case <-t.over:
					c.Close()
					return
				}
			case <-t.over:
				return
			}
		}
	}()
	return t, nil
}

func host(addr string) string {
	h, _, _ := net.SplitHostPort(addr)
	return h
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if t.muted.Load() {
		t.kept.Add(1)
		return time.Now(), nil
	}
	t.out.Add(1)
	t.outBytes.Add(uint64(len(b)))
	return t.NetTransport.WriteToAddress(b, a)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.from}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

func (t *transport) Shutdown() error {
	t.once.Do(func() { close(t.over) })
	return t.NetTransport.Shutdown()
}

// lines has the library's own log come as lines of ours, few a second of each kind: what a stranger sends must not fill it.
type lines struct {
	mu    sync.Mutex
	tally logline.Sampler[string]
	count map[string]uint64
	// former hears the address of a member that called the life before ours. Set before the library writes.
	former func(addr string)
}

// from is how the library's lines end that name a sender.
const from = " from="

// codes names the library's words that an operator should know apart.
var codes = []struct{ text, code string }{
	{"ecrypt", "not-our-key"}, {"No installed keys", "not-our-key"}, {"not encrypted", "not-our-key"}, {"Label", "not-our-cluster"},
	{"label", "not-our-cluster"}, {"Push/Pull", "state-not-exchanged"}, {"push/pull", "state-not-exchanged"}, {"msg type", "bad-message"}, {"compound", "bad-message"},
	{"unexpected node", "old-life"}, {"ecode", "bad-message"}, {"Suspect", "suspects"}, {"Marking", "gives-up"}, {"Refuting", "refutes"}, {"Failed to send", "not-sent"},
}

func (l *lines) Write(b []byte) (int, error) {
	text := string(bytes.TrimSpace(b))
	code := "other"
	for _, c := range codes {
		if strings.Contains(text, c.text) {
			code = c.code
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count[code]++
	if code == "old-life" { // by a packet from the caller's own address, or a connection from one of the moment, which nobody listens on
		if _, addr, told := strings.Cut(text, from); told && strings.Contains(text, "node '") && Address(addr) == nil {
			l.former(addr)
		}
		return len(b), nil
	}
	if strings.Contains(text, "[DEBUG]") {
		return len(b), nil
	}
	now := time.Now()
	l.tally.FlushSuppressed(now, func(code string, more int) { slog.Info("gossip", "code", code, "more", more) })
	if l.tally.Allow(code, now) {
		const enough = 200 // bytes: the library's lines name an address and a cause
		text = text[:min(len(text), enough)]
		slog.Info("gossip", "code", code, "text", strings.ToValidUTF8(text, "?"))
	}
	return len(b), nil
}

func (l *lines) counts() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]uint64{}
	for code, n := range l.count {
		all[code] = n
	}
	return all
}

// split reads an address that a file told.
func split(addr string) (net.IP, int, error) {
	h, p, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, 0, err
	}
	port, err := strconv.Atoi(p)
	if err != nil || port < 1 || port > 65535 {
		return nil, 0, &net.AddrError{Err: "wants a port from 1 to 65535", Addr: addr}
	}
	ip := net.ParseIP(h)
	if ip == nil {
		return nil, 0, &net.AddrError{Err: "wants an IP address", Addr: addr}
	}
	return ip, port, nil
}

// Address checks an address of the gossip.
func Address(addr string) error {
	_, _, err := split(addr)
	return err
}
