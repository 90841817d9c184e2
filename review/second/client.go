package main

import (
	"fmt"
	"math/rand/v2"
	"net"

	"lanewheel/internal/fake"
)

// operation is one try of a request by a client stub.
type operation struct {
	class, id, body string
	fields          []string // alternating names and values that replace the default fields
}

// newID returns the id of a try: 16 hex digits, new with every try.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send opens a connection, sends one request on it and returns the connection.
func (b *bench) send(listen string, op operation) *fake.Client {
	client := fake.Dial(listen)
	b.record("client: send %s %s %q", op.id, op.class, op.body)
	fields := append([]string{"cost", fmt.Sprint(workOf(op.body).Milliseconds())}, op.fields...)
	client.Send(fake.NewRequest(1, op.class, op.id, []byte(op.body), fields...))
	return client
}

// answer waits for the answer to the request that was sent on the connection. It returns the error code, which is
// empty for "served", and the result. A connection that ends without an answer has the code "no answer".
func (b *bench) answer(client *fake.Client, op operation) (code, result string) {
	for {
		response, err := client.NextResponse()
		if err != nil {
			b.record("client: no answer to %s: %v", op.id, err)
			return "no answer", ""
		}
		if response.Number != 1 { // a notification, as "goaway"
			continue
		}
		b.record("client: answer to %s: error %q, result %q", op.id, response.Error, response.Result)
		return response.Error, string(response.Result)
	}
}

// perform sends a request on a new connection, waits for its answer and closes the connection.
func (b *bench) perform(listen string, op operation) (code, result string) {
	client := b.send(listen, op)
	defer client.Close()
	return b.answer(client, op)
}

// performWithReset is like perform, but the connection is reset as the answer arrives: the client stub has lost it.
func (b *bench) performWithReset(listen string, op operation) (code string) {
	client := b.send(listen, op)
	defer client.Close()
	code, _ = b.answer(client, op)
	if tcp, ok := client.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only on a closed connection
	}
	b.record("client: connection of %s is reset, the answer is lost", op.id)
	return code
}
