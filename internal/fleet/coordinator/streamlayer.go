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

// maxPendingConnections limits the connections that are in their handshake or have a request in progress. Without a
// limit, clients that never authenticate could open hundreds of connections.
const maxPendingConnections = 64

// streamLayer implements raft.StreamLayer on the listener that peers and clients share.
type streamLayer struct {
	coordinator *Coordinator
	listener    net.Listener
	peers       chan net.Conn // authenticated connections of peers, for Accept
	slots       chan struct{} // holds one element for each pending connection
	ready       chan struct{} // closed once the replica is open and requests can be handled
	closed      chan struct{}
	closeOnce   sync.Once
}

// newStreamLayer returns a stream layer on the listener and starts to accept connections.
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
			_ = conn.Close() // too many pending connections
		}
	}
}

// handleConn performs the handshake. It then passes the connection of a peer to raft, or handles the request of a
// client.
func (l *streamLayer) handleConn(conn net.Conn) {
	kind, err := client.ServerHandshake(conn, l.coordinator.loadClusterKeys())
	switch {
	case err != nil: // the other side is not authenticated or has disconnected
	case kind == client.PeerConnection:
		select {
		case l.peers <- conn:
			return
		case <-l.closed:
		}
	case kind == client.ClientConnection:
		// A request may arrive before the data directory is open.
		select {
		case <-l.ready:
			l.coordinator.serveRequest(conn)
		case <-l.closed:
		}
	}
	_ = conn.Close() // no data is pending
}

// Accept implements net.Listener. It returns only connections of peers.
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

// Addr implements net.Listener. It returns the address that peers dial. If the address cannot be resolved, it returns a
// nil *net.TCPAddr, which raft can print.
func (l *streamLayer) Addr() net.Addr {
	addr, _ := net.ResolveTCPAddr("tcp", l.coordinator.config.AdvertiseAddr)
	return addr
}

// Dial implements raft.StreamLayer. The connection is authenticated when Dial returns.
func (l *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := client.Dialer{
		Keys:    l.coordinator.loadClusterKeys(),
		LocalIP: l.coordinator.config.LocalIP,
		Timeout: timeout,
	}
	return dialer.Dial(string(addr), client.PeerConnection)
}

// serveRequest reads one request from the connection and writes the response.
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
	_ = json.NewEncoder(conn).Encode(response) // on an error the client repeats its request
}
