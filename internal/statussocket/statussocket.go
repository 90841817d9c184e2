// Package statussocket serves a local socket on which a process shows its state to clients on the same machine.
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

// clientTimeout is the maximum time to serve one client. Clients are served one after the other, so a client that
// connects and does not read would block the others.
const clientTimeout = time.Second

// Serve listens at path until done is closed. It calls handle for one connection at a time, on a separate goroutine.
// It replaces a file that an earlier process left at path. An error when opening the socket is only logged, because
// the process can run without it. Once Serve has returned, clients of other users cannot connect.
func Serve(path string, done <-chan struct{}, handle func(net.Conn)) {
	listener, err := listen(path)
	if err != nil {
		slog.Warn("status socket unavailable", "path", path, "err", err)
		return
	}
	go func() {
		<-done
		_ = listener.Close() // the process is stopping
	}()
	go serve(listener, handle)
}

func listen(path string) (net.Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("previous status socket not removed", "path", path, "err", err)
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		slog.Warn("status socket accessible to other users", "path", path, "err", err)
	}
	return listener, nil
}

// serve accepts connections until the listener is closed.
func serve(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err == nil {
			handle(conn)
		}
		_ = conn.Close() // the client repeats a request that was not served
	}
}
