package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Database is a database that answers each call after a delay with "row for " and the body of the call.
type Database struct {
	listener net.Listener
	server   *http.Server
}

// NewDatabase starts a database on a free port.
func NewDatabase(delay time.Duration, record *Record) (*Database, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	handle := func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		time.Sleep(delay)
		record.Printf("database: call %q for %s, answered", body, request.Header.Get("Request-Ref"))
		_, _ = w.Write([]byte("row for " + string(body)))
	}
	d := &Database{listener: listener, server: &http.Server{
		Handler: http.HandlerFunc(handle), ReadHeaderTimeout: 10 * time.Second,
	}}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Addr returns the address that accepts calls.
func (d *Database) Addr() string { return d.listener.Addr().String() }

// Close ends the database.
func (d *Database) Close() { _ = d.server.Close() }

// Registry receives reports and gives no answer.
type Registry struct{ conn net.PacketConn }

// NewRegistry starts a registry on a free port.
func NewRegistry() (*Registry, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for buffer := make([]byte, 100); ; {
			if _, _, err := conn.ReadFrom(buffer); err != nil {
				return
			}
		}
	}()
	return &Registry{conn}, nil
}

// Addr returns the address that receives reports.
func (r *Registry) Addr() string { return r.conn.LocalAddr().String() }

// Close ends the registry.
func (r *Registry) Close() { _ = r.conn.Close() }

// Relay passes connections on to an address, and can reset all of them.
type Relay struct {
	listener net.Listener
	target   string
	// OnBytes, if set, is called with what the target has sent on a connection. If it returns false, these bytes are not
	// passed on and the connection is reset.
	OnBytes func(connection int, b []byte) bool

	mu    sync.Mutex
	count int
	open  map[net.Conn]net.Conn // the accepted side and the dialled one
}

// NewRelay starts a relay on a free port.
func NewRelay(target string) (*Relay, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, open: map[net.Conn]net.Conn{}}
	go r.accept()
	return r, nil
}

// Addr returns the address that accepts connections.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset()
}

// Reset resets all connections on both sides.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for accepted, dialled := range r.open {
		reset(accepted)
		reset(dialled)
	}
	clear(r.open)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *Relay) accept() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		dialled, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.target)
		if err != nil {
			reset(accepted)
			continue
		}
		r.mu.Lock()
		r.count++
		number := r.count
		r.open[accepted] = dialled
		r.mu.Unlock()
		go r.copy(dialled, accepted, func([]byte) bool { return true })
		go r.copy(accepted, dialled, func(b []byte) bool { return r.OnBytes == nil || r.OnBytes(number, b) })
	}
}

// copy copies from source to destination until one of them ends. It ends both.
func (r *Relay) copy(destination, source net.Conn, pass func([]byte) bool) {
	for buffer := make([]byte, 64<<10); ; {
		n, err := source.Read(buffer)
		if n > 0 && !pass(buffer[:n]) {
			reset(destination)
			reset(source)
			break
		}
		if n > 0 {
			if _, writeErr := destination.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = destination.Close()
	_ = source.Close()
	r.mu.Lock()
	delete(r.open, source)
	delete(r.open, destination)
	r.mu.Unlock()
}
