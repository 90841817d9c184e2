// Package runtimelink implements the protocol of the link to the runtime. Each line is a flat JSON object, with
// bodies in base64. The package maps the words of the protocol to the fields of Event and the methods of Conn;
// other packages do not use these words.
package runtimelink

import "lanewheel/internal/transport"

// errMalformed closes a link on which a line was received that does not follow the protocol.
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

// EventKind is the kind of an Event. A runtime may also send kinds that are not listed below.
type EventKind string

// The kinds of events.
const (
	EventReady     EventKind = "ready"   // the runtime is up; Status is its state
	EventGauges    EventKind = "load"    // the reply to RequestGauges, or unsolicited
	EventSelfTest  EventKind = "verdict" // the result of RequestSelfTest, in Status
	EventCallPoint EventKind = "wants"   // a run has reached an upstream call and waits for SendCallReply or SkipCall
	EventEnd       EventKind = "end"     // a run has ended; Status is its outcome
	EventRefused   EventKind = "nack"    // a command was refused
	EventInfo      EventKind = "info"    // for information; requires no action
)

// Status is the outcome of a run or a self-test, the state of the runtime or the kind of a refused command,
// depending on the kind of the Event. A runtime may also send statuses that are not listed below.
type Status string

// The statuses.
const (
	StatusSuccess     Status = "success"
	StatusFailure     Status = "failure"
	StatusInterrupted Status = "interrupted" // the run was stopped
	StatusNotStarted  Status = "nothing"     // there was no run with this id
	StatusStart       Status = "start"       // in an EventRefused: the refused command was a start
	StatusBooting     Status = "booting"     // in an EventReady: the runtime has just started
)

// The field names of commands and events.
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

// maxDepth is the maximum nesting depth of JSON values, which limits the recursion of the reader.
const maxDepth = 16
