package database

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"lanewheel/internal/transport"
)

// errMalformed closes a connection whose input is not one unambiguous reply.
const errMalformed transport.ParseError = "bad-reply"

const (
	versionPrefix = "HTTP/1."
	statusOffset  = len("HTTP/1.1 ")
	lineEnd       = "\r\n"
	headEnd       = "\r\n\r\n"
)

// The header fields of a reply that are evaluated, in lower case, and their values.
const (
	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
	fieldNeverStarted     = "never-started" // 1 if the call never ran
	encodingChunked       = "chunked"
)

// Reply is the reply to a call.
type Reply struct {
	Status       int
	NeverStarted bool   // the status and fields prove that the call never ran
	Body         []byte // valid only during the call of OnReply
}

// noLength is the value of replyHead.length for a reply without a content-length field.
const noLength = -1

// replyHead is the decoded status line and header fields of a reply.
type replyHead struct {
	status       int
	neverStarted bool
	length       int // content length in bytes, or noLength
	chunked      bool
}

// parseReply parses the reply, and interim replies before it. It implements transport.Handler.Parse. A reply is
// malformed if it can be interpreted in more than one way, because its length is contradictory, or missing with
// status 200.
func (c *Conn) parseReply(b []byte) (int, func(), error) {
	if n := min(len(b), len(versionPrefix)); string(b[:n]) != versionPrefix[:n] { // not HTTP; do not wait for more
		return 0, nil, errMalformed
	}
	end := bytes.Index(b, []byte(headEnd))
	if end < 0 {
		return 0, nil, nil
	}
	head, err := parseHead(string(b[:end]))
	if err != nil {
		return 0, nil, err
	}
	offset := end + len(headEnd)
	if head.status < http.StatusOK { // an interim reply, which the final one follows
		return offset, nil, nil
	}
	if err := head.checkLength(transport.BufferSize - offset); err != nil {
		return 0, nil, err
	}
	body, size, err := head.readBody(c.Net().Get(), b[offset:])
	if err != nil || size < 0 {
		c.Net().Put(body)
		return 0, nil, err
	}
	c.IgnoreInput() // there is only one call, so further input has no meaning
	reply := Reply{Status: head.status, NeverStarted: head.neverStarted, Body: body}
	call := func() {
		c.OnReply(reply)
		c.Net().Put(body)
	}
	return offset + size, call, nil
}

func parseHead(text string) (replyHead, error) {
	lines := strings.Split(text, lineEnd)
	status, err := parseStatus(lines[0])
	if err != nil {
		return replyHead{}, err
	}
	head := replyHead{status: status, length: noLength}
	for _, line := range lines[1:] {
		if err := head.parseField(line); err != nil {
			return replyHead{}, err
		}
	}
	return head, nil
}

// parseStatus returns the three-digit status code of a status line.
func parseStatus(line string) (int, error) {
	code, _, _ := strings.Cut(line[min(len(line), statusOffset):], " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || line[statusOffset-1] != ' ' {
		return 0, errMalformed
	}
	return status, nil
}

// parseField evaluates a header field. h.status must be set.
func (h *replyHead) parseField(line string) error {
	name, value, found := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !found || name == "" || strings.ContainsFunc(name, invalidInName) || strings.ContainsFunc(value, invalidInValue) {
		return errMalformed
	}
	switch strings.ToLower(name) {
	case fieldContentLength:
		n, err := strconv.ParseUint(value, 10, 62)
		if err != nil || h.length >= 0 && h.length != int(n) {
			return errMalformed
		}
		h.length = int(n)
	case fieldTransferEncoding:
		if h.chunked || !strings.EqualFold(value, encodingChunked) {
			return errMalformed
		}
		h.chunked = true
	case fieldNeverStarted:
		h.neverStarted = value == "1" && (h.status == http.StatusServiceUnavailable || h.status == http.StatusConflict)
	}
	return nil
}

func invalidInName(c rune) bool { return c <= ' ' || c >= 0x7f }

func invalidInValue(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// checkLength returns an error if the length of the body is contradictory or missing, or exceeds available bytes.
func (h *replyHead) checkLength(available int) error {
	switch {
	case h.chunked && h.length >= 0, !h.chunked && h.length < 0 && h.status == http.StatusOK:
		return errMalformed
	case h.length > available:
		return transport.ErrTooLong
	}
	return nil
}

// readBody appends the body to buffer and returns its size in the input, or incomplete if the input ends too early.
func (h *replyHead) readBody(buffer, input []byte) (body []byte, size int, err error) {
	if h.chunked {
		return readChunks(buffer, input)
	}
	size = max(h.length, 0)
	if size > len(input) {
		return buffer, incomplete, nil
	}
	return append(buffer, input[:size]...), size, nil
}

// incomplete is the size returned for a body that has not been received completely.
const incomplete = -1

// readChunks appends a chunked body to body. The results are those of readBody.
func readChunks(body, input []byte) ([]byte, int, error) {
	offset := 0
	for {
		line, next, found := cutLine(input, offset)
		if !found {
			return body, incomplete, nil
		}
		offset = next
		digits, _, _ := strings.Cut(string(line), ";") // chunk extensions follow the semicolon
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 16)
		if err != nil || int(size)+len(body) > transport.BufferSize {
			return body, 0, errMalformed
		}
		if size == 0 {
			return body, skipTrailer(input, offset), nil
		}
		end := offset + int(size)
		if end+len(lineEnd) > len(input) {
			return body, incomplete, nil
		}
		body = append(body, input[offset:end]...)
		offset = end + len(lineEnd)
	}
}

// skipTrailer skips the trailer fields after the last chunk and the empty line after them. It returns the offset
// of the byte after them, or incomplete.
func skipTrailer(input []byte, offset int) int {
	for {
		line, next, found := cutLine(input, offset)
		if !found {
			return incomplete
		}
		offset = next
		if len(line) == 0 {
			return offset
		}
	}
}

// cutLine returns the line at an offset and the offset of the next line.
func cutLine(input []byte, offset int) (line []byte, next int, found bool) {
	end := bytes.Index(input[offset:], []byte(lineEnd))
	if end < 0 {
		return nil, offset, false
	}
	return input[offset : offset+end], offset + end + len(lineEnd), true
}
