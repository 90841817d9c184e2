package gossip

import (
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is the library's own, which dials from the address that it listens on, so that whoever stands between
// knows both ends, counts what goes over it, and tells who was heard.
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

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

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
