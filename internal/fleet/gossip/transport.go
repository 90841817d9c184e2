package gossip

import (
	"context"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport extends memberlist's own transport. It dials from the IP address on which it listens, so that firewall
// rules between two members can name both IP addresses. It also counts packets and reports the IP addresses from which
// packets and streams arrive. Its methods are called on memberlist's goroutines.
type transport struct {
	*memberlist.NetTransport
	localIP  net.IP
	onSender func(ip string)
	packets  chan *memberlist.Packet
	streams  chan net.Conn
	// muted makes the transport drop outgoing packets: a process that receives nothing would otherwise report to all
	// members that all the others are gone.
	muted        atomic.Bool
	done         chan struct{}
	shutdownOnce sync.Once

	packetsIn  atomic.Uint64
	packetsOut atomic.Uint64
	bytesIn    atomic.Uint64
	bytesOut   atomic.Uint64
	suppressed atomic.Uint64 // packets dropped while muted
}

func newTransport(ip net.IP, port int, logger *log.Logger, onSender func(string)) (*transport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{ip.String()},
		BindPort:  port,
		Logger:    logger,
	})
	if err != nil {
		return nil, err
	}
	t := &transport{
		NetTransport: inner,
		localIP:      ip,
		onSender:     onSender,
		packets:      make(chan *memberlist.Packet),
		streams:      make(chan net.Conn),
		done:         make(chan struct{}),
	}
	go t.forward()
	return t, nil
}

// forward passes the packets and streams of memberlist's transport on to PacketCh and StreamCh, until Shutdown.
func (t *transport) forward() {
	for {
		select {
		case packet := <-t.NetTransport.PacketCh():
			t.forwardPacket(packet)
		case conn := <-t.NetTransport.StreamCh():
			t.forwardStream(conn)
		case <-t.done:
			return
		}
	}
}

func (t *transport) forwardPacket(packet *memberlist.Packet) {
	t.packetsIn.Add(1)
	t.bytesIn.Add(uint64(len(packet.Buf)))
	t.onSender(hostOf(packet.From.String()))
	select {
	case t.packets <- packet:
	case <-t.done:
	}
}

func (t *transport) forwardStream(conn net.Conn) {
	t.onSender(hostOf(conn.RemoteAddr().String()))
	select {
	case t.streams <- conn:
	case <-t.done:
		_ = conn.Close() // nothing has been read or written
	}
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(packet []byte, addr memberlist.Address) (time.Time, error) {
	if t.muted.Load() {
		t.suppressed.Add(1)
		return time.Now(), nil
	}
	t.packetsOut.Add(1)
	t.bytesOut.Add(uint64(len(packet)))
	return t.NetTransport.WriteToAddress(packet, addr)
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	return dialer.DialContext(context.Background(), "tcp", addr)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	t.shutdownOnce.Do(func() { close(t.done) })
	return t.NetTransport.Shutdown()
}
