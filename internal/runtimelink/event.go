package runtimelink

import (
	"bytes"
	"encoding/base64"
	"time"

	"lanewheel/internal/transport"
)

// Event is one line of the runtime. Which fields are set depends on its kind.
type Event struct {
	Kind          EventKind
	RequestID     string
	Status        Status
	CorrelationID string        // that of the command which it replies to
	Sequence      uint64        // counts the events of runs; 0: it is none
	Elapsed       time.Duration // for how long the run has run, or what it took to come up
	Body          []byte        // a result, or what is asked upstream; valid only during the call of OnEvent
	Gauges        []float64
}

// parseLine reads one line. Empty ones are passed over.
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

// parseEvent picks what we know out of the object; unknown names are passed over, whatever they hold. buffer is the
// event's body's, to be given back; nil: there is none.
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
		if buffer != nil { // a second body
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

// readField reads the value of any field but the body.
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

// readBody reads the body into a buffer that it takes for it.
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
