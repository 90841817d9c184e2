package rpc

import (
	"math"

	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// ServerConn is the connection of a client at the server. The fields are its callbacks, called on the owner loop; all
// but OnAuthenticated have to be set before the goroutine that accepted the connection goes on. The methods are for
// the owner loop.
type ServerConn struct {
	*transport.Conn
	// OnRequest takes a request. Its Body stays valid only during the call.
	OnRequest       func(messageID uint32, request frontend.Request)
	OnCancel        func(messageID uint32) // nobody waits for the response any more
	OnHealthCheck   func(messageID uint32, deep bool)
	OnProtocolError func(code string) // has to close the connection
	OnClose         func(code string)
	// OnAuthenticated takes what the chain of a TLS client proved; on a plain connection it is never called.
	OnAuthenticated func(identity any)

	lastToken string // the last one read, which the next is likely to be; owned by what parses
}

// NewServerConn makes an accepted connection one of a client. It is called where Net.OnAccept is.
func NewServerConn(conn *transport.Conn) *ServerConn {
	server := &ServerConn{Conn: conn}
	conn.SetHandler(transport.Handler{
		Parse:           server.parseMessage,
		OnUnreadable:    func(code string) { server.OnProtocolError(code) },
		OnClose:         func(code string) { server.OnClose(code) },
		OnAuthenticated: func(identity any) { server.OnAuthenticated(identity) },
	})
	return server
}

// Succeed answers a request with its result.
func (s *ServerConn) Succeed(messageID uint32, result []byte, metadata frontend.ResponseMetadata) {
	b := appendResponseHead(s.OutputBuffer(), messageID)
	b = append(b, tagNil, tagFixArray|2)
	b = appendBytes(b, result)
	s.SetOutput(appendMetadata(b, metadata))
}

// Reject answers a request that was not admitted, and never ran.
func (s *ServerConn) Reject(messageID uint32, metadata frontend.ResponseMetadata) {
	s.sendError(messageID, CodeBusy, metadata)
}

// Fail answers a request that failed.
func (s *ServerConn) Fail(messageID uint32, metadata frontend.ResponseMetadata) {
	s.sendError(messageID, CodeFailed, metadata)
}

// Deny answers a request that its caller may not make; metadata.Reason says why in one word.
func (s *ServerConn) Deny(messageID uint32, metadata frontend.ResponseMetadata) {
	s.sendError(messageID, CodeDenied, metadata)
}

func (s *ServerConn) sendError(messageID uint32, name ErrorCode, metadata frontend.ResponseMetadata) {
	b := appendResponseHead(s.OutputBuffer(), messageID)
	b = appendString(append(b, tagFixArray|2), string(name))
	s.SetOutput(append(appendMetadata(b, metadata), tagNil))
}

// AnswerHealthCheck answers a health check.
func (s *ServerConn) AnswerHealthCheck(messageID uint32, healthy bool, metadata frontend.ResponseMetadata) {
	result := byte(tagFalse)
	if healthy {
		result = tagTrue
	}
	b := appendResponseHead(s.OutputBuffer(), messageID)
	b = append(b, tagNil, tagFixArray|2, result)
	s.SetOutput(appendMetadata(b, metadata))
}

// GoAway asks the client to send nothing new here and to close when all is answered.
func (s *ServerConn) GoAway() {
	s.SetOutput(append(appendNotificationHead(s.OutputBuffer(), methodGoAway), tagFixArray))
}

func appendResponseHead(b []byte, messageID uint32) []byte {
	return appendMessageID(append(b, tagFixArray|responseParts, kindResponse), messageID)
}

// parseMessage reads one request, health check or notification.
func (s *ServerConn) parseMessage(b []byte) (int, func(), error) {
	d := decoder{input: b}
	parts := d.readArrayLength()
	kind := d.readInteger()
	var call func()
	switch {
	case d.failed():
	case parts == requestParts && kind == kindRequest:
		call = s.parseCall(&d)
	case parts == notificationParts && kind == kindNotification:
		call = s.parseNotification(&d)
	default:
		d.malformed = true
	}
	return d.finish(call)
}

func (s *ServerConn) parseCall(d *decoder) func() {
	messageID, valid := d.readMessageID()
	method := string(d.readString())
	params := d.readArrayLength()
	switch {
	case d.malformed || !valid:
		d.malformed = true
	case params == 2:
		return s.parseRequest(d, messageID, method)
	case params == 1 && method == methodHealthCheck:
		_, deep := s.parseFields(d)
		return func() { s.OnHealthCheck(messageID, deep) }
	default:
		d.malformed = true
	}
	return nil
}

// parseNotification reads a notification. One that is not known asks for nothing.
func (s *ServerConn) parseNotification(d *decoder) func() {
	method := string(d.readString())
	if method != methodCancel {
		d.skip(0)
		return nil
	}
	if d.readArrayLength() != 1 {
		d.malformed = true
		return nil
	}
	messageID, valid := d.readMessageID()
	if !valid { // none of ours has it
		return nil
	}
	return func() { s.OnCancel(messageID) }
}

func (s *ServerConn) parseRequest(d *decoder, messageID uint32, class string) func() {
	request, _ := s.parseFields(d)
	request.Class = class
	request.NewIDPerAttempt = true
	body := d.readBytes()
	if len(body) > maxBodyBytes || !d.failed() && len(request.ID) != requestIDBytes {
		d.malformed = true
	}
	if d.failed() {
		return nil
	}
	request.Body = append(s.Net().Get(), body...)
	return func() {
		s.OnRequest(messageID, request)
		s.Net().Put(request.Body)
	}
}

// parseFields reads the fields of a request or, with deep, of a health check. Unknown ones are skipped.
func (s *ServerConn) parseFields(d *decoder) (request frontend.Request, deep bool) {
	for i := d.readMapLength(); i > 0 && !d.failed(); i-- {
		switch name := d.readString(); string(name) {
		case fieldRequestID:
			request.ID = string(d.readString())
		case fieldTenant:
			request.Tenant = string(d.readString())
		case fieldResource:
			request.Resource = string(d.readString())
		case fieldSentAt:
			request.SentUnixMilli = d.readInteger()
		case fieldCaller:
			request.Caller = int(d.readInteger())
		case fieldTimeout:
			request.Timeout = d.readMilliseconds()
			request.HasTimeout = true
		case fieldWorkHint:
			request.WorkHint = d.readMilliseconds()
		case fieldMemoryKB:
			request.MemoryKB = d.readNumber()
		case fieldRank:
			request.Rank = d.readNumber()
		case fieldToken:
			request.Token = s.parseToken(d)
		case fieldHops:
			request.Hops = s.parseHops(d)
		case fieldDeep:
			deep = d.readNumber() == 1
		default:
			d.skip(0)
		}
	}
	return request, deep
}

// parseToken reads a token. The last one's text serves again: one comparison instead of some hundred new bytes for each
// request.
func (s *ServerConn) parseToken(d *decoder) string {
	if !s.Net().ReadTokens.Load() {
		d.skip(0)
		return ""
	}
	if text := d.readString(); string(text) != s.lastToken {
		s.lastToken = string(text)
	}
	return s.lastToken
}

func (s *ServerConn) parseHops(d *decoder) int {
	if !s.Net().ReadHops.Load() {
		d.skip(0)
		return 0
	}
	hops := d.readInteger()
	if hops < 0 || hops > maxHops {
		d.malformed = true
		return 0
	}
	return int(hops)
}

// readMessageID reads an integer and tells whether it can be a message's id.
func (d *decoder) readMessageID() (messageID uint32, valid bool) {
	x := d.readInteger()
	return uint32(x), x >= 0 && x <= math.MaxUint32
}
