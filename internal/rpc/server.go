package rpc

import (
	"crypto/sha256"
	"encoding/hex"
	"math"

	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// ServerConn is the server's end of a client connection. The fields are its callbacks, which are called on the
// owner loop. Net.OnAccept must set all of them before it returns, except OnAuthenticated. The methods must be
// called on the owner loop.
type ServerConn struct {
	*transport.Conn
	// OnRequest is called with a request, whose Body is valid only during the call.
	OnRequest       func(messageID uint32, request frontend.Request)
	OnCancel        func(messageID uint32) // the response is no longer needed
	OnHealthCheck   func(messageID uint32, deep bool)
	OnProtocolError func(code string) // must close the connection
	OnClose         func(code string)
	// OnAuthenticated is called with the identity of a TLS client after the handshake. It must be set for a connection
	// with TLS, and is never called on a plain connection.
	OnAuthenticated func(identity any)

	lastToken string // last token read, likely to be repeated; owned by the goroutine that parses
}

// NewServerConn sets up an accepted connection as a client connection. It must be called by Net.OnAccept.
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

// Succeed sends the result of a request.
func (s *ServerConn) Succeed(messageID uint32, result []byte, metadata frontend.ResponseMetadata) {
	b := appendResponseHead(s.OutputBuffer(), messageID)
	b = append(b, tagNil, tagFixArray|2)
	b = appendBytes(b, result)
	s.SetOutput(appendMetadata(b, metadata))
}

// Reject responds to a request that was not admitted and never ran.
func (s *ServerConn) Reject(messageID uint32, metadata frontend.ResponseMetadata) {
	s.sendError(messageID, CodeBusy, metadata)
}

// Fail responds to a request that failed and may have run, or that was rejected permanently.
func (s *ServerConn) Fail(messageID uint32, metadata frontend.ResponseMetadata) {
	s.sendError(messageID, CodeFailed, metadata)
}

// Deny responds to a request that its caller is not permitted to make. metadata.Reason is the reason, in one word.
func (s *ServerConn) Deny(messageID uint32, metadata frontend.ResponseMetadata) {
	s.sendError(messageID, CodeDenied, metadata)
}

func (s *ServerConn) sendError(messageID uint32, code ErrorCode, metadata frontend.ResponseMetadata) {
	b := appendResponseHead(s.OutputBuffer(), messageID)
	b = appendString(append(b, tagFixArray|2), string(code))
	s.SetOutput(append(appendMetadata(b, metadata), tagNil))
}

// AnswerHealthCheck responds to a health check.
func (s *ServerConn) AnswerHealthCheck(messageID uint32, healthy bool, metadata frontend.ResponseMetadata) {
	result := byte(tagFalse)
	if healthy {
		result = tagTrue
	}
	b := appendResponseHead(s.OutputBuffer(), messageID)
	b = append(b, tagNil, tagFixArray|2, result)
	s.SetOutput(appendMetadata(b, metadata))
}

// GoAway asks the client to send no further requests on this connection and to close it once all requests have been
// answered.
func (s *ServerConn) GoAway() {
	s.SetOutput(append(appendNotificationHead(s.OutputBuffer(), methodGoAway), tagFixArray))
}

func appendResponseHead(b []byte, messageID uint32) []byte {
	return appendMessageID(append(b, tagFixArray|responseParts, kindResponse), messageID)
}

// parseMessage parses one request, health check or notification. It implements transport.Handler.Parse.
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

// parseCall parses the rest of a request or health check whose kind has been read.
func (s *ServerConn) parseCall(d *decoder) func() {
	messageID, valid := d.readMessageID()
	method := boundedName(d.readString())
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

// parseNotification parses the rest of a notification whose kind has been read. Unknown notifications are ignored.
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
	if !valid { // no request can have this id
		return nil
	}
	return func() { s.OnCancel(messageID) }
}

func (s *ServerConn) parseRequest(d *decoder, messageID uint32, class string) func() {
	request, _ := s.parseFields(d)
	request.Class = class
	request.NewIDPerAttempt = true
	body := d.readBytes()
	if len(body) > maxBodyBytes || !d.failed() && !isRequestID(request.ID) {
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

// parseFields reads the fields of a request or health check. deep is a field of health checks. Unknown fields are
// skipped.
func (s *ServerConn) parseFields(d *decoder) (request frontend.Request, deep bool) {
	for i := d.readMapLength(); i > 0 && !d.failed(); i-- {
		switch name := d.readString(); string(name) {
		case fieldRequestID:
			request.ID = string(d.readString())
		case fieldTenant:
			request.Tenant = boundedName(d.readString())
		case fieldResource:
			request.Resource = boundedName(d.readString())
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

// parseToken reads a token. If it equals the last token, that string is reused: a comparison avoids allocating
// several hundred bytes per request.
func (s *ServerConn) parseToken(d *decoder) string {
	if !s.Net().ReadTokens.Load() {
		d.skip(0)
		return ""
	}
	text := d.readString()
	text = text[:min(len(text), maxTokenBytes+1)] // remains too long
	if string(text) != s.lastToken {
		s.lastToken = string(text)
	}
	return s.lastToken
}

// boundedName returns a name of a request, or the hash of one that is longer than maxNameBytes: names are only
// compared, and a client could otherwise take several times the memory that is accounted for its requests.
func boundedName(name []byte) string {
	if len(name) <= maxNameBytes {
		return string(name)
	}
	sum := sha256.Sum256(name)
	return hex.EncodeToString(sum[:])
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

// readMessageID reads an integer and reports whether it is a valid message id.
func (d *decoder) readMessageID() (messageID uint32, valid bool) {
	x := d.readInteger()
	return uint32(x), x >= 0 && x <= math.MaxUint32
}
