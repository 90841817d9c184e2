// Package statussocket is a local socket on which a process shows how it stands to whoever asks on the same machine.
package statussocket

import (
	"log/slog"
	"net"
	"os"
	"time"
)

// Serve answers each connection to the socket at path by show, one after the other, until closed is. Danger: who connects and does not
// read would hold up the next, so each has a second.
func Serve(path string, done <-chan struct{}, handle func(net.Conn)) {
	_ = os.Remove(path) // one that an earlier life has left
	listener, err := net.Listen("unix", path)
	if err != nil {
		slog.Warn("no-watch", "err", err)
		return
	}
	_ = os.Chmod(path, 0o600)
	go func() {
		<-done
		listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			handle(conn)
			conn.Close()
		}
	}()
}
