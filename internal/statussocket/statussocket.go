// Package statussocket is a local socket on which a process shows its state to clients on the same machine.
package statussocket

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"time"
)

// clientTimeout is how long one client may take. A client that connects and does not read would hold up the others, as
// they are served one after the other.
const clientTimeout = time.Second

// Serve listens at path and hands each connection to handle, one after the other on a goroutine of its own, until
// done is closed. It replaces what an earlier process left at path. A socket that cannot be opened is logged and is
// no reason for the process to stop. Clients of other users are refused from when Serve has returned.
func Serve(path string, done <-chan struct{}, handle func(net.Conn)) {
	listener, err := listen(path)
	if err != nil {
		slog.Warn("status socket unavailable", "path", path, "err", err)
		return
	}
	go func() {
		<-done
		_ = listener.Close() // the process stops
	}()
	go serve(listener, handle)
}

func listen(path string) (net.Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("status socket not replaced", "path", path, "err", err)
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		slog.Warn("status socket open to other users", "path", path, "err", err)
	}
	return listener, nil
}

// serve ends when the listener is closed.
func serve(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err == nil {
			handle(conn)
		}
		_ = conn.Close() // what the client did not get, it asks for again
	}
}
