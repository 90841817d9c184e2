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

// ask connects, sends a line and gives the line that comes back.
func ask(path, line string) (string, error) {
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
		_, _ = fmt.Fprint(conn, "got "+line) // the test sees what did not arrive
	}
}

// Clients are served one after the other, also past one that sends nothing, until the process is done.
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
		if answer, err := ask(path, line); err != nil || answer != "got "+line+"\n" {
			t.Errorf("answer %q, error %v", answer, err)
		}
	}
	close(done)
	deadline := time.Now().Add(5 * time.Second)
	for _, err := os.Stat(path); err == nil; _, err = os.Stat(path) {
		if time.Now().After(deadline) {
			t.Fatal("the socket is there after the end")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A path that cannot be listened at is no reason to stop.
func TestServeWithoutDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "missing", "status")
	Serve(path, make(chan struct{}), echo)
	if _, err := ask(path, "a"); err == nil {
		t.Error("somebody answers")
	}
}
