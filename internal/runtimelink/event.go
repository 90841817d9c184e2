package runtimelink

import (
	"bytes"
	"encoding/base64"
	"time"

	"lanewheel/internal/transport"
)

// Event is one line that the runtime sent. The kind determines which fields are set.
type Event struct {
	Kind          EventKind
	RequestID     string
	Status        Status
	CorrelationID string        // of the command that the event replies to
	Sequence      uint64        // number among the events of runs; 0: not an event of a run
	Elapsed       time.Duration // run time so far, or time that the runtime took to start
	Body          []byte        // result or upstream request; valid only during the call of OnEvent
	Gauges        []float64
}

// parseLine parses one line as transport.Handler.Parse requires. It ignores empty lines.
func (c *Conn) parseLine(b []byte) (int, func(), error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		return 0, nil, nil
	}
	line := bytes.TrimSpace(b[:end])
	if len(line) == 0 {
		return end + 1, nil, nil
	}
	event, buffer, ok := c.parseEvent(line)
	if !ok {
		return 0, nil, errMalformed
	}
	call := func() {
		c.OnEvent(event)
		if buffer != nil {
			c.Net().Put(buffer)
		}
	}
	return end + 1, call, nil
}

// parseEvent reads the defined fields of an object and ignores all others, whatever their values. buffer holds
// the body of the event and must be returned to the pool; it is nil if there is no body.
func (c *Conn) parseEvent(line []byte) (event Event, buffer []byte, ok bool) {
	reader := jsonReader{input: line}
	reader.expect('{')
	for first := true; !reader.malformed && !reader.accept('}'); first = false {
		if !first {
			reader.expect(',')
		}
		name := reader.readString()
		reader.expect(':')
		if string(name) != fieldBody {
			event.readField(&reader, string(name))
			continue
		}
		if buffer != nil { // the object has a second body
			reader.malformed = true
			continue
		}
		buffer = c.readBody(&reader, &event)
	}
	if reader.malformed || reader.offset != len(reader.input) {
		if buffer != nil {
			c.Net().Put(buffer)
		}
		return Event{}, nil, false
	}
	return event, buffer, true
}

// readField reads the value of any field except the body.
func (e *Event) readField(reader *jsonReader, name string) {
	switch name {
	case fieldKind:
		e.Kind = EventKind(reader.readString())
	case fieldRequestID:
		e.RequestID = string(reader.readString())
	case fieldStatus:
		e.Status = Status(reader.readString())
	case fieldCorrelationID:
		e.CorrelationID = string(reader.readString())
	case fieldSequence:
		e.Sequence = uint64(max(0, reader.readNumber()))
	case fieldElapsed:
		e.Elapsed = time.Duration(reader.readNumber() * float64(time.Millisecond))
	case fieldGauges:
		reader.expect('[')
		for !reader.malformed && !reader.accept(']') {
			if len(e.Gauges) > 0 {
				reader.expect(',')
			}
			e.Gauges = append(e.Gauges, reader.readNumber())
		}
	default:
		reader.skip(0)
	}
}

// readBody decodes the body into a buffer that it takes from the pool.
func (c *Conn) readBody(reader *jsonReader, event *Event) (buffer []byte) {
	text := reader.readString()
	if reader.malformed || base64.StdEncoding.DecodedLen(len(text)) > transport.BufferSize {
		reader.malformed = true
		return nil
	}
	var err error
	buffer = c.Net().Get()
	event.Body, err = base64.StdEncoding.AppendDecode(buffer, text)
	reader.malformed = err != nil
	return buffer
}
