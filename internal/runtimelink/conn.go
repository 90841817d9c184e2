package runtimelink

import (
	"lanewheel/admission"
	"lanewheel/internal/transport"
)

// Conn is a link to the runtime. The fields are its callbacks, called on the owner loop; the methods, a command each,
// are for the owner loop.
type Conn struct {
	*transport.Conn
	OnEvent func(Event)
	OnClose func(code string)
}

// Dial opens a link; ready is called as by transport.Conn.Dial. The callbacks have to be set before the owner loop goes
// on.
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

// Sync has the runtime send the events behind the last one that was read on an earlier link.
func (c *Conn) Sync(lastSequence uint64) {
	c.SetOutput(c.newCommand(commandSync).sequence(lastSequence).end())
}

// Start has a request run.
func (c *Conn) Start(id admission.RequestID, class admission.Class, body []byte) {
	c.SetOutput(c.newCommand(commandStart).requestID(id).text(fieldClass, string(class)).body(body).end())
}

// Stop has a run end before it is done.
func (c *Conn) Stop(id admission.RequestID) {
	c.SetOutput(c.newCommand(commandStop).requestID(id).end())
}

// SendCallReply gives the reply to the call that a run stands at.
func (c *Conn) SendCallReply(id admission.RequestID, reply []byte) {
	c.SetOutput(c.newCommand(commandReply).requestID(id).body(reply).end())
}

// SkipCall has a run go on without the reply to its call, which the event with this number told of.
func (c *Conn) SkipCall(id admission.RequestID, sequence uint64) {
	c.SetOutput(c.newCommand(commandSkipCall).requestID(id).sequence(sequence).end())
}

// RequestGauges asks for an EventGauges with this id.
func (c *Conn) RequestGauges(correlationID string) {
	c.SetOutput(c.newCommand(commandGauges).text(fieldCorrelationID, correlationID).end())
}

// RequestSelfTest asks for an EventSelfTest with this id.
func (c *Conn) RequestSelfTest(correlationID string) {
	c.SetOutput(c.newCommand(commandSelfTest).text(fieldCorrelationID, correlationID).end())
}

func (c *Conn) newCommand(kind string) commandLine {
	return newCommandLine(c.OutputBuffer(), kind)
}
