package drill

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"path/filepath"
	"testing"

	"lanewheel/internal/config"
)

// TestGoldenHook checks the lines that a coordinator's hook and a drill exchange to restart a process: the drill's
// answer, the hook's request, and the answer that the hook accepts.
func TestGoldenHook(t *testing.T) {
	c := &cluster{dir: t.TempDir(), script: &config.Drill{}}
	if err := c.listenForHooks(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.hookListener.Close() }()
	var out bytes.Buffer
	want := `no process "p009"`
	if err := RunHook(c.hookPath(), "p009", "2", &out); err == nil || err.Error() != want || out.String() != want+"\n" {
		t.Fatalf("error %v, printed %q, want %q", err, out.String(), want)
	}

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "unix", filepath.Join(t.TempDir(), "hook"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	received := make(chan string, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		line, _ := bufio.NewReader(connection).ReadString('\n')
		received <- line
		_, _ = io.WriteString(connection, "started\n")
	}()
	out.Reset()
	if err := RunHook(listener.Addr().String(), "p001", "2", &out); err != nil {
		t.Fatal(err)
	}
	if got := <-received; got != "p001 2\n" || out.String() != "started\n" {
		t.Fatalf("sent %q, printed %q", got, out.String())
	}
}
