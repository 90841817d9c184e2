package client

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"lanewheel/internal/membership"
)

// fakeCoordinator performs the documented handshake and answers requests.
type fakeCoordinator struct {
	addr     string
	requests chan string // received lines
}

// newFakeCoordinator starts a fake coordinator that runs until the end of the test. answer returns the response line
// for a request line.
func newFakeCoordinator(t *testing.T, answer func(request string) string) *fakeCoordinator {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &fakeCoordinator{addr: listener.Addr().String(), requests: make(chan string, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.serve(conn, answer)
			_ = conn.Close()
		}
	}()
	return server
}

// serve handles one connection. It records the request line, or a description of a failed handshake, before it answers,
// so that a client that has the answer finds the request recorded.
func (s *fakeCoordinator) serve(conn net.Conn, answer func(string) string) {
	kind, err := documentedListener(conn, clusterKey)
	if err != nil || kind != 'o' {
		s.requests <- fmt.Sprint(string(kind), err)
		return
	}
	line, _ := bufio.NewReader(conn).ReadString('\n') // the test compares the received line
	response := answer(line)
	s.requests <- line
	_, _ = io.WriteString(conn, response+"\n") // a disconnected client is not an error here
}

func (s *fakeCoordinator) client() Client {
	return Client{Coordinators: []string{s.addr}, Keys: []membership.Key{clusterKey}, Timeout: 5 * time.Second}
}

func responseLine(response Response) string {
	text, err := json.Marshal(response)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// A client follows the redirect of a coordinator that is not the leader, and retries while there is no quorum.
func TestDoFindsLeader(t *testing.T) {
	answers := []Response{{Error: ErrNoQuorum.Error()}, {Reply: &goldenReply}}
	leader := newFakeCoordinator(t, func(string) string {
		response := answers[0]
		answers = answers[1:]
		return responseLine(response)
	})
	follower := newFakeCoordinator(t, func(string) string { return responseLine(Response{Leader: leader.addr}) })
	request := Request{Command: &goldenCommand}
	response, err := follower.client().Do(request)
	if err != nil || !reflect.DeepEqual(response.Reply, &goldenReply) {
		t.Errorf("%+v, %v", response, err)
	}
	if count := len(leader.requests); count != 2 {
		t.Fatalf("the leader got %d requests, want 2", count)
	}
	want, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if line := <-leader.requests; line != string(want)+"\n" {
			t.Errorf("the leader received %q, want %q", line, want)
		}
	}
}

// A refusal of a coordinator is in its response. Without an address, the right key or a quorum, Do returns an error
// that callers can test for.
func TestDoErrors(t *testing.T) {
	if _, err := (Client{Timeout: time.Second}).Do(Request{Status: true}); !errors.Is(err, ErrNoCoordinators) {
		t.Errorf("without an address: %v", err)
	}
	refusing := newFakeCoordinator(t, func(string) string { return responseLine(Response{Error: "a reason"}) })
	response, err := refusing.client().Do(Request{RemoveCoordinator: "s9"})
	if err != nil || response.Err() != RemoteError("a reason") { //nolint:errorlint // the exact value
		t.Errorf("refused: %+v, %v", response, err)
	}
	electing := newFakeCoordinator(t, func(string) string { return responseLine(Response{Error: ErrNoQuorum.Error()}) })
	client := electing.client()
	client.Timeout = 100 * time.Millisecond
	if _, err := client.Do(Request{Status: true}); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("without a quorum: %v", err)
	}
	client = electing.client()
	client.Keys = []membership.Key{membership.Key("another key of as many bytes....")}
	if _, err := client.Do(Request{Status: true}); !errors.Is(err, ErrUnauthenticated) {
		t.Errorf("with another key: %v", err)
	}
}

// A dialer connects from its configured local address.
func TestDialLocalIP(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	from := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			from <- err.Error()
			return
		}
		from <- conn.RemoteAddr().(*net.TCPAddr).IP.String()
		_ = conn.Close()
	}()
	dialer := Dialer{Keys: []membership.Key{clusterKey}, LocalIP: "127.0.0.2", Timeout: time.Second}
	if _, err := dialer.Dial(listener.Addr().String(), ClientConnection); err == nil {
		t.Error("Dial succeeded although the listener sent no handshake")
	}
	if got := <-from; got != "127.0.0.2" {
		t.Errorf("dialed from %s", got)
	}
}

// The delay between attempts grows up to a maximum.
func TestRetryBackoff(t *testing.T) {
	for attempt, want := range []time.Duration{0, 50, 100, 150, 200, 200} {
		if got := retryBackoff(attempt); got != want*time.Millisecond {
			t.Errorf("attempt %d: %v, want %v", attempt, got, want*time.Millisecond)
		}
	}
}
