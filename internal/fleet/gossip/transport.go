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

	"lanewheel/internal/logging"
)

// transport is the library's own, which dials from the address that it listens on, so that whoever stands between knows both ends,
// counts what goes over it, and tells who was heard.
type transport struct {
	*memberlist.NetTransport
	localIP      net.IP
	onSender     func(sender string)
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	muted        atomic.Bool // Danger: one that hears nobody tells all that all are gone; it keeps that to itself
	done         chan struct{}
	shutdownOnce sync.Once

	packetsIn, packetsOut, bytesIn, bytesOut, suppressed atomic.Uint64
}

func newTransport(ip net.IP, port int, logger *log.Logger, onSender func(string)) (*transport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{ip.String()}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, err
	}
	t := &transport{NetTransport: inner, localIP: ip, onSender: onSender, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), done: make(chan struct{})}
	go func() {
		for {
			select {
			case packet := <-inner.PacketCh():
				t.packetsIn.Add(1)
				t.bytesIn.Add(uint64(len(packet.Buf)))
				onSender(hostOf(packet.From.String()))
				select {
				case t.packets <- packet:
				case <-t.done:
					return
				}
			case conn := <-inner.StreamCh():
				onSender(hostOf(conn.RemoteAddr().String()))
				select {
				case t.streams <- conn:
				case <-t.done:
					conn.Close()
					return
				}
			case <-t.done:
				return
			}
		}
	}()
	return t, nil
}

func hostOf(addr string) string {
	h, _, _ := net.SplitHostPort(addr)
	return h
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(packet []byte, addr memberlist.Address) (time.Time, error) {
	if t.muted.Load() {
		t.suppressed.Add(1)
		return time.Now(), nil
	}
	t.packetsOut.Add(1)
	t.bytesOut.Add(uint64(len(packet)))
	return t.NetTransport.WriteToAddress(packet, addr)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

func (t *transport) Shutdown() error {
	t.shutdownOnce.Do(func() { close(t.done) })
	return t.NetTransport.Shutdown()
}

// libraryLog has the library's own log come as lines of ours, few a second of each kind: what a stranger sends must not fill it.
type libraryLog struct {
	mu      sync.Mutex
	sampler logging.Sampler[string]
	counts  map[string]uint64
	// former hears the address of a member that called the life before ours. Set before the library writes.
	onPredecessorCaller func(addr string)
}

// fromMarker is how the library's lines end that name a sender.
const fromMarker = " from="

// libraryCodes names the library's words that an operator should know apart.
var libraryCodes = []struct{ text, code string }{
	{"ecrypt", "not-our-key"}, {"No installed keys", "not-our-key"}, {"not encrypted", "not-our-key"}, {"Label", "not-our-cluster"},
	{"label", "not-our-cluster"}, {"Push/Pull", "state-not-exchanged"}, {"push/pull", "state-not-exchanged"}, {"msg type", "bad-message"}, {"compound", "bad-message"},
	{"unexpected node", "old-life"}, {"ecode", "bad-message"}, {"Suspect", "suspects"}, {"Marking", "gives-up"}, {"Refuting", "refutes"}, {"Failed to send", "not-sent"},
}

func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	code := "other"
	for _, c := range libraryCodes {
		if strings.Contains(text, c.text) {
			code = c.code
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[code]++
	if code == "old-life" { // by a packet from the caller's own address, or a connection from one of the moment, which nobody listens on
		if _, addr, hasAddr := strings.Cut(text, fromMarker); hasAddr && strings.Contains(text, "node '") && checkAddr(addr) == nil {
			l.onPredecessorCaller(addr)
		}
		return len(line), nil
	}
	if strings.Contains(text, "[DEBUG]") {
		return len(line), nil
	}
	now := time.Now()
	l.sampler.FlushSuppressed(now, func(code string, suppressed int) { slog.Info("gossip", "code", code, "more", suppressed) })
	if l.sampler.Allow(code, now) {
		const maxTextBytes = 200 // bytes: the library's lines name an address and a cause
		text = text[:min(len(text), maxTextBytes)]
		slog.Info("gossip", "code", code, "text", strings.ToValidUTF8(text, "?"))
	}
	return len(line), nil
}

func (l *libraryLog) countsByCode() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]uint64{}
	for code, n := range l.counts {
		counts[code] = n
	}
	return counts
}

// parseAddr reads an address that a file told.
func parseAddr(addr string) (net.IP, int, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, 0, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil || port < 1 || port > 65535 {
		return nil, 0, &net.AddrError{Err: "wants a port from 1 to 65535", Addr: addr}
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, 0, &net.AddrError{Err: "wants an IP address", Addr: addr}
	}
	return ip, port, nil
}

// checkAddr checks an address of the gossip.
func checkAddr(addr string) error {
	_, _, err := parseAddr(addr)
	return err
}
