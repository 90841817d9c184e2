package coordinator

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"lanewheel/internal/fleet/coordinator/client"
)

// maxPendingConnections bounds the connections in their handshake or with a request: those that never prove a key
// could come by the hundred.
const maxPendingConnections = 64

// streamLayer is raft.StreamLayer over the listener that peers and clients share.
type streamLayer struct {
	coordinator *Coordinator
	listener    net.Listener
	peers       chan net.Conn
	slots       chan struct{} // one for each pending connection
	ready       chan struct{} // closed once there is a state to answer from
	closed      chan struct{}
	closeOnce   sync.Once
}

func newStreamLayer(coordinator *Coordinator, listener net.Listener) *streamLayer {
	layer := &streamLayer{
		coordinator: coordinator,
		listener:    listener,
		peers:       make(chan net.Conn),
		slots:       make(chan struct{}, maxPendingConnections),
		ready:       make(chan struct{}),
		closed:      make(chan struct{}),
	}
	go layer.acceptLoop()
	return layer
}

func (l *streamLayer) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		select {
		case l.slots <- struct{}{}:
			go func() {
				defer func() { <-l.slots }()
				l.handleConn(conn)
			}()
		default:
			_ = conn.Close() // refused
		}
	}
}

// handleConn does the handshake, and hands a peer to raft or answers a client.
func (l *streamLayer) handleConn(conn net.Conn) {
	kind, err := client.ServerHandshake(conn, l.coordinator.loadClusterKeys())
	switch {
	case err != nil: // a stranger, or a peer that is gone
	case kind == client.PeerConnection:
		select {
		case l.peers <- conn:
			return
		case <-l.closed:
		}
	case kind == client.ClientConnection:
		// A request may come while the folder is still being read.
		select {
		case <-l.ready:
			l.coordinator.serveRequest(conn)
		case <-l.closed:
		}
	}
	_ = conn.Close() // nothing more is written
}

// Accept implements net.Listener: it returns connections of peers.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.peers:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamLayer) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.listener.Close()
}

// Addr implements net.Listener: where the peers dial us. If that can't be resolved, it is a nil *net.TCPAddr, which
// raft can print.
func (l *streamLayer) Addr() net.Addr {
	addr, _ := net.ResolveTCPAddr("tcp", l.coordinator.config.AdvertiseAddr)
	return addr
}

// Dial implements raft.StreamLayer.
func (l *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := client.Dialer{
		Keys:    l.coordinator.loadClusterKeys(),
		LocalIP: l.coordinator.config.LocalIP,
		Timeout: timeout,
	}
	return dialer.Dial(string(addr), client.PeerConnection)
}

// serveRequest answers one request.
func (c *Coordinator) serveRequest(conn net.Conn) {
	if conn.SetDeadline(time.Now().Add(client.RequestTimeout)) != nil {
		return // the connection is closed
	}
	var request client.Request
	var response client.Response
	limited := bufio.NewReader(io.LimitReader(conn, client.MaxRequestBytes))
	if err := json.NewDecoder(limited).Decode(&request); err != nil {
		response.Error = "can't be read: " + err.Error()
	} else {
		response = c.handleRequest(request)
	}
	_ = json.NewEncoder(conn).Encode(response) // a client that is gone asks again
}
