package rpc

import (
	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// ClientConn is the client's end of a connection to an instance. The fields are its callbacks, which are called on the
// owner loop. The methods must be called on the owner loop.
type ClientConn struct {
	*transport.Conn
	OnResponse func(messageID uint32, response Response)
	OnGoAway   func() // the instance asks for no further requests on the connection
	OnClose    func(code string)
}

// Response is the response to a request. Result is valid only during the call of OnResponse.
type Response struct {
	Error    ErrorCode // CodeNone if the request succeeded
	Metadata frontend.ResponseMetadata
	Result   []byte
}

// Dial starts opening a connection to an instance. It must be called on the owner loop; ready is called as
// documented for transport.Conn.Dial. The caller must set the callbacks before it returns to the owner loop.
func Dial(net *transport.Net, addr string, ready func(err error)) *ClientConn {
	client := newClientConn(net.NewDialed(transport.DialOptions{Peer: transport.PeerInstance}))
	client.SetHandler(client.handler())
	client.Dial(addr, ready)
	return client
}

func newClientConn(conn *transport.Conn) *ClientConn { return &ClientConn{Conn: conn} }

func (c *ClientConn) handler() transport.Handler {
	return transport.Handler{
		Parse:   c.parseMessage,
		OnClose: func(code string) { c.OnClose(code) },
	}
}

// Send sends a request, which must be Sendable.
func (c *ClientConn) Send(messageID uint32, request frontend.Request) {
	c.SetOutput(appendRequest(c.OutputBuffer(), messageID, &request))
}

// Cancel notifies the instance that the response to a request is no longer needed.
func (c *ClientConn) Cancel(messageID uint32) {
	b := appendNotificationHead(c.OutputBuffer(), methodCancel)
	c.SetOutput(appendMessageID(append(b, tagFixArray|1), messageID))
}

// parseMessage parses one response or notification. It implements transport.Handler.Parse.
func (c *ClientConn) parseMessage(b []byte) (int, func(), error) {
	d := decoder{input: b}
	parts := d.readArrayLength()
	kind := d.readInteger()
	var call func()
	switch {
	case d.failed():
	case parts == responseParts && kind == kindResponse:
		call = c.parseResponse(&d)
	case parts == notificationParts && kind == kindNotification:
		method := string(d.readString())
		d.skip(0)
		if method == methodGoAway {
			call = func() { c.OnGoAway() }
		}
	default:
		d.malformed = true
	}
	return d.finish(call)
}

// parseResponse parses the rest of a response whose kind has been read, and returns the function that handles it.
func (c *ClientConn) parseResponse(d *decoder) func() {
	messageID, valid := d.readMessageID()
	response := Response{Metadata: frontend.ResponseMetadata{LoadReport: noLoadReport}}
	var result []byte
	switch {
	case d.malformed || !valid:
		d.malformed = true
	case !d.readNil():
		d.readError(&response)
	default:
		result = d.readResult(&response)
	}
	if d.failed() {
		return nil
	}
	response.Result = append(c.Net().Get(), result...)
	return func() {
		c.OnResponse(messageID, response)
		c.Net().Put(response.Result)
	}
}

// readError reads [name, fields] and the nil in place of the result.
func (d *decoder) readError(response *Response) {
	if d.readArrayLength() != 2 {
		d.malformed = true
		return
	}
	response.Error = ErrorCode(d.readString())
	response.Metadata = d.readMetadata()
	if d.offset == len(d.input) { // the nil has not been received yet
		d.truncated = true
	}
	if response.Error == CodeNone || !d.readNil() {
		d.malformed = true
	}
}

// readResult reads [result, fields]. The result of a health check is a bool, which is skipped.
func (d *decoder) readResult(response *Response) (result []byte) {
	if d.readArrayLength() != 2 {
		d.malformed = true
		return nil
	}
	if tag, found := d.peek(); found && (tag == tagFalse || tag == tagTrue) {
		d.offset++
	} else {
		result = d.readBytes()
	}
	response.Metadata = d.readMetadata()
	return result
}

// noLoadReport is the value of ResponseMetadata.LoadReport for a response without a load report.
const noLoadReport = -1

// readMetadata reads the fields that accompany a result or error. Unknown fields are skipped.
func (d *decoder) readMetadata() frontend.ResponseMetadata {
	metadata := frontend.ResponseMetadata{LoadReport: noLoadReport}
	for i := d.readMapLength(); i > 0 && !d.failed(); i-- {
		switch name := d.readString(); string(name) {
		case fieldLoadReport:
			metadata.LoadReport = max(0, d.readNumber())
		case fieldRetryAfter:
			metadata.RetryAfter = d.readMilliseconds()
		case fieldNoFailover:
			metadata.NoFailover = d.readNumber() == 1
		case fieldReason:
			metadata.Reason = string(d.readString())
		default:
			d.skip(0)
		}
	}
	return metadata
}
