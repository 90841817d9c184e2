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

// streamLayer is raft.StreamLayer over the shared listener.
type streamLayer struct {
	coordinator *Coordinator
	listener    net.Listener
	peers       chan net.Conn
	closed      chan struct{}
	ready       chan struct{} // closed once there is a state to answer from
	closeOnce   sync.Once
	slots       chan struct{} // one for each connection that is being greeted or asked
}

func newStreamLayer(coordinator *Coordinator, listener net.Listener) *streamLayer {
	const maxConnections = 64 // operators, and strangers that say nothing
	layer := &streamLayer{coordinator: coordinator, listener: listener, peers: make(chan net.Conn), closed: make(chan struct{}), ready: make(chan struct{}), slots: make(chan struct{}, maxConnections)}
	go layer.acceptLoop()
	return layer
}

func (x *streamLayer) acceptLoop() {
	for {
		conn, err := x.listener.Accept()
		if err != nil {
			return
		}
		select {
		case x.slots <- struct{}{}:
		default: // Danger: connections by the hundred on which nobody proves anything
			conn.Close()
			continue
		}
		go func() {
			defer func() { <-x.slots }()
			kind, err := client.ServerHandshake(conn, x.coordinator.loadClusterKeys())
			switch {
			case err != nil:
				x.coordinator.rejectedConnections.Add(1)
			case kind == client.PeerConnection:
				select {
				case x.peers <- conn:
					return
				case <-x.closed:
				}
			case kind == client.ClientConnection:
				// Danger: who asks while the folder is still being read.
				select {
				case <-x.ready:
					x.coordinator.serveRequest(conn)
				case <-x.closed:
				}
			}
			conn.Close()
		}()
	}
}

// Accept is net.Listener.
func (x *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-x.peers:
		return conn, nil
	case <-x.closed:
		return nil, net.ErrClosed
	}
}

// Close is net.Listener.
func (x *streamLayer) Close() error {
	x.closeOnce.Do(func() { close(x.closed) })
	return x.listener.Close()
}

// Addr is net.Listener: where the others dial us.
func (x *streamLayer) Addr() net.Addr {
	addr, _ := net.ResolveTCPAddr("tcp", x.coordinator.config.AdvertiseAddr)
	return addr
}

// Dial is raft.StreamLayer.
func (x *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return client.Dial(string(addr), x.coordinator.config.LocalIP, x.coordinator.loadClusterKeys(), client.PeerConnection, timeout)
}

// serveRequest answers one question.
func (s *Coordinator) serveRequest(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(client.RequestTimeout))
	var request client.Request
	response := client.Response{}
	if err := json.NewDecoder(bufio.NewReader(io.LimitReader(conn, client.MaxRequestBytes))).Decode(&request); err != nil {
		response.Error = "can't be read: " + err.Error()
	} else {
		response = s.handle(request)
	}
	_ = json.NewEncoder(conn).Encode(response)
}
