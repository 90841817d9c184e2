package statussocket

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// request connects, sends a line and returns the response line.
func request(path, line string) (string, error) {
	dialer := net.Dialer{Timeout: 5 * time.Second}
	conn, err := dialer.DialContext(context.Background(), "unix", path)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

func echo(conn net.Conn) {
	if line, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
		_, _ = fmt.Fprint(conn, "got "+line) // the test fails if the response does not arrive
	}
}

// Clients are served one after the other until done is closed, even if a client before them sends nothing.
func TestServe(t *testing.T) {
	path := filepath.Join(t.TempDir(), "status")
	if err := os.WriteFile(path, []byte("left by an earlier process"), 0o600); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	Serve(path, done, echo)
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode().Perm() != 0o600 {
		t.Errorf("the socket's mode is %v", info.Mode())
	}
	silent, err := new(net.Dialer).DialContext(t.Context(), "unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	for _, line := range []string{"a", "b"} {
		if response, err := request(path, line); err != nil || response != "got "+line+"\n" {
			t.Errorf("response %q, error %v", response, err)
		}
	}
	close(done)
	deadline := time.Now().Add(5 * time.Second)
	for _, err := os.Stat(path); err == nil; _, err = os.Stat(path) {
		if time.Now().After(deadline) {
			t.Fatal("the socket still exists after done was closed")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Serve returns, and nothing listens, if the socket cannot be created.
func TestServeWithoutDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "missing", "status")
	Serve(path, make(chan struct{}), echo)
	if _, err := request(path, "a"); err == nil {
		t.Error("a request succeeded without a socket")
	}
}
