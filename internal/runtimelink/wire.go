// Package runtimelink is the protocol of the link to the runtime: JSON, one flat object a line, bodies in base64.
// Nothing outside this package knows the protocol's words, which are mapped to the fields of Event and the methods of
// Conn here.
package runtimelink

import "lanewheel/internal/transport"

// errMalformed ends a link on which something else came than lines of the protocol.
const errMalformed transport.ParseError = "bad-line"

// The kinds of commands.
const (
	commandSync     = "sync"
	commandStart    = "start"
	commandStop     = "stop"
	commandReply    = "give"
	commandSkipCall = "omit"
	commandGauges   = "gauges"
	commandSelfTest = "selftest"
)

// EventKind is the kind of an Event. A runtime may send others than those below.
type EventKind string

// The kinds of events.
const (
	EventReady     EventKind = "ready"   // the runtime is up; Status tells how
	EventGauges    EventKind = "load"    // the reply to RequestGauges, or unasked
	EventSelfTest  EventKind = "verdict" // the result of RequestSelfTest, in Status
	EventCallPoint EventKind = "wants"   // a run stands at an upstream call, and waits for SendCallReply or SkipCall
	EventEnd       EventKind = "end"     // a run is over; Status tells how
	EventRefused   EventKind = "nack"    // a command was refused
	EventInfo      EventKind = "info"    // asks for nothing
)

// Status is how a run, a self-test or the start of the runtime ended, as an Event tells it. A runtime may send others
// than those below.
type Status string

// The statuses.
const (
	StatusSuccess     Status = "success"
	StatusFailure     Status = "failure"
	StatusInterrupted Status = "interrupted" // the run was stopped
	StatusNotStarted  Status = "nothing"     // there was no such run
	StatusStart       Status = "start"       // of EventRefused: the command was a start
	StatusBooting     Status = "booting"     // of EventReady: it has just come up
)

// The fields of commands and events.
const (
	fieldKind          = "t"
	fieldSequence      = "no"
	fieldRequestID     = "rid"
	fieldClass         = "route"
	fieldCorrelationID = "mark"
	fieldStatus        = "status"
	fieldElapsed       = "time_ms"
	fieldGauges        = "v"
	fieldBody          = "b64"
)

// maxDepth limits the recursion over nested values.
const maxDepth = 16
