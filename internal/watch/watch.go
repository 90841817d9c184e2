// Package watch is a local socket on which a process shows how it stands to whoever asks on the same machine.
package watch

import (
	"log/slog"
	"net"
	"os"
	"time"
)

// Serve answers each connection to the socket at path by show, one after the other, until closed is. Danger: who connects and does not
// read would hold up the next, so each has a second.
func Serve(path string, closed <-chan struct{}, show func(net.Conn)) {
	_ = os.Remove(path) // one that an earlier life has left
	l, err := net.Listen("unix", path)
	if err != nil {
		slog.Warn("no-watch", "err", err)
		return
	}
	_ = os.Chmod(path, 0o600)
	go func() {
		<-closed
		l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(time.Second))
			show(c)
			c.Close()
		}
	}()
}
