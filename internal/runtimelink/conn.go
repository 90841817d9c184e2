package runtimelink

import (
	"lanewheel/admission"
	"lanewheel/internal/transport"
)

// Conn is a link to the runtime. Its fields are callbacks, which are called on the owner loop. Its methods send
// one command each and must be called on the owner loop.
type Conn struct {
	*transport.Conn
	OnEvent func(Event)
	OnClose func(code string)
}

// Dial opens a link. ready is called as documented at transport.Conn.Dial. The caller must set the callbacks of
// the Conn before it returns to the owner loop.
func Dial(net *transport.Net, addr string, ready func(refused error)) *Conn {
	conn := &Conn{Conn: net.NewDialed(transport.DialOptions{Peer: transport.PeerRuntime})}
	conn.SetHandler(conn.handler())
	conn.Dial(addr, ready)
	return conn
}

func (c *Conn) handler() transport.Handler {
	return transport.Handler{
		Parse:   c.parseLine,
		OnClose: func(code string) { c.OnClose(code) },
	}
}

// Sync asks the runtime to send the events that follow lastSequence, which is the last event read on an earlier
// link.
func (c *Conn) Sync(lastSequence uint64) {
	c.SetOutput(c.newCommand(commandSync).sequence(lastSequence).end())
}

// Start starts the run of a request.
func (c *Conn) Start(id admission.RequestID, class admission.Class, body []byte) {
	c.SetOutput(c.newCommand(commandStart).requestID(id).text(fieldClass, string(class)).body(body).end())
}

// Stop ends a run before it is complete.
func (c *Conn) Stop(id admission.RequestID) {
	c.SetOutput(c.newCommand(commandStop).requestID(id).end())
}

// SendCallReply sends the reply to the upstream call that a run waits for.
func (c *Conn) SendCallReply(id admission.RequestID, reply []byte) {
	c.SetOutput(c.newCommand(commandReply).requestID(id).body(reply).end())
}

// SkipCall lets a run continue without a reply to its upstream call. sequence is that of the EventCallPoint of
// the call.
func (c *Conn) SkipCall(id admission.RequestID, sequence uint64) {
	c.SetOutput(c.newCommand(commandSkipCall).requestID(id).sequence(sequence).end())
}

// RequestGauges requests an EventGauges with this correlation id.
func (c *Conn) RequestGauges(correlationID string) {
	c.SetOutput(c.newCommand(commandGauges).text(fieldCorrelationID, correlationID).end())
}

// RequestSelfTest requests an EventSelfTest with this correlation id.
func (c *Conn) RequestSelfTest(correlationID string) {
	c.SetOutput(c.newCommand(commandSelfTest).text(fieldCorrelationID, correlationID).end())
}

func (c *Conn) newCommand(kind string) commandLine {
	return newCommandLine(c.OutputBuffer(), kind)
}
