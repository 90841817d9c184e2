package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"lanewheel/internal/fake"
)

// Example_revokedCertificate checks the revocation of a certificate while a request is pending on its connection. The
// pending request is answered, the next one is denied, and the connection is closed. Neither a new handshake nor a
// resumed session is accepted afterwards. Connections with other certificates stay open.
func Example_revokedCertificate() {
	h := deployWithAuth()
	defer h.close()
	h.runCommand("cert", "issue", h.path("water-8"), "--authority", h.path("ca"), "--uri", "rota://water/8")
	c := h.clientTLS("water-7")
	s := fake.Must(h.dialTLS(c))
	fmt.Println(h.requestAnswer(s, 1))
	again := fake.Must(h.dialTLS(c))
	fmt.Println("resumed", again.Conn.(*tls.Conn).ConnectionState().DidResume, h.requestAnswer(again, 2))
	other := fake.Must(h.dialTLS(h.clientTLS("water-8")))
	s.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil, "kb", "1"))
	fmt.Println(h.runtime.NextCommand())
	h.runCommand("cert", "revoke", h.path("water-7.pem"), "--authority", h.path("ca"))
	h.reloadAndWait()
	s.Send(fake.NewRequest(4, "view", fake.RequestID(4), nil, "kb", "1"))
	received := []string{s.NextText(), s.NextText()} // goaway may arrive before or after the response
	slices.Sort(received)
	fmt.Println(received)
	h.runtime.SendNotice("end", fake.RequestID(3), "success", "one")
	fmt.Println(s.NextText(), s.NextText())
	fake.WaitFor("the idle connection to be closed", func() bool { return again.NextText() == "closed" })
	fmt.Println(h.requestAnswer(other, 5), len(h.runtime.Messages))
	for range 2 {
		late, err := h.dialTLS(c)
		if err == nil {
			_, err = late.NextResponse()
		}
		fmt.Println(err != nil, strings.Contains(err.Error(), "bad certificate"))
	}
	// Output:
	// done
	// resumed true done
	// start 3 route view body ""
	// [['\x01' '\x04' ["Denied" map["why":"revoked"]] <nil>] ['\x02' "goaway" []]]
	// ['\x01' '\x03' <nil> ["one" map[]]] closed
	// done 0
	// true true
	// true true
}

// Example_stalledHandshakes checks that 200 connections that stall in the handshake delay another client by less than
// 4 s, and that an incomplete handshake times out.
func Example_stalledHandshakes() {
	h := deployWithAuth("client-certificates = optional",
		"client-certificates = required\nmax-handshakes = 16\nhandshake-rate = 10000")
	defer h.close()
	var stalled []net.Conn
	for range 200 {
		c := fake.Must(dial(h.tlsAddr))
		stalled = append(stalled, c)
		_, _ = c.Write([]byte{0x16, 3, 1, 0, 200, 1})
	}
	began := time.Now()
	s := fake.Must(h.dialTLS(h.clientTLS("water-7")))
	fmt.Println(h.requestAnswer(s, 1), time.Since(began) < 4*time.Second)
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(fake.WaitTimeout))
		if _, err := c.Read(make([]byte, 64)); os.IsTimeout(err) {
			panic("the instance did not close a connection with an incomplete handshake")
		}
		_ = c.Close()
	}
	plaintext := fake.Must(dial(h.tlsAddr))
	_, _ = plaintext.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	fake.WaitFor("the plaintext connection to be closed", func() bool {
		return strings.Contains(h.log.text(), "code=handshake-failed")
	})
	withoutCertificate, err := h.dialTLS(h.clientTLS(""))
	if err == nil { // the client receives the alert with its first read
		_, err = withoutCertificate.NextResponse()
	}
	fmt.Println(strings.Contains(err.Error(), "certificate required"))
	fmt.Println(h.requestAnswer(s, 2))
	// Output:
	// done true
	// true
	// done
}

// Example_maxHandshakes checks that no more than the configured number of connections use a descriptor and memory
// during the handshake, however many clients stall in it. The others wait in the backlog.
func Example_maxHandshakes() {
	h := deployWithAuth("client-certificates = optional",
		"client-certificates = optional\nmax-handshakes = 4\nhandshake-rate = 10000")
	defer h.close()
	openSockets := func() (n int) {
		for _, fd := range fake.Must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))) {
			to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", h.cmd.Process.Pid, fd.Name())) // it may be closed by now
			if strings.HasPrefix(to, "socket:") {
				n++
			}
		}
		return n
	}
	const idleSockets = 4 // two listeners, the runtime link and the socket of the registry reports
	// Until the instance has closed the connection of the readiness check, before would include it.
	fake.WaitFor("the connection of the readiness check to be closed", func() bool { return openSockets() == idleSockets })
	before, maxIncrease := openSockets(), 0
	for range 25 {
		conn := fake.Must(dial(h.tlsAddr))
		defer func() { _ = conn.Close() }()
	}
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		maxIncrease = max(maxIncrease, openSockets()-before)
	}
	fmt.Println(maxIncrease >= 4, maxIncrease < 12) // some are closed while others are accepted
	// Output:
	// true true
}
