// Package rpc is the protocol of client requests, MessagePack-RPC, from both ends: a request is a call whose method
// is its class. Nothing outside this package knows MessagePack or the protocol's words, which are mapped to the
// fields of frontend.Request, frontend.ResponseMetadata and Response here.
package rpc

import "lanewheel/internal/transport"

// errMalformed ends a connection whose peer breaks the protocol.
const errMalformed transport.ParseError = "bad-message"

// The kinds of messages: [request, id, method, params], [response, id, error, result], [notification, method, params].
const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2
)

// The lengths of these messages.
const (
	requestParts      = 4
	responseParts     = 4
	notificationParts = 3
)

// The methods that are no class of requests.
const (
	methodHealthCheck = "check"     // a request: [fields]
	methodCancel      = "interrupt" // a notification: [id]
	methodGoAway      = "goaway"    // a notification to the client: []
)

// The fields beside the body of a request or health check.
const (
	fieldRequestID = "id"
	fieldTenant    = "tenant"
	fieldResource  = "key"
	fieldSentAt    = "at" // Unix milliseconds
	fieldCaller    = "from"
	fieldTimeout   = "wait" // milliseconds
	fieldWorkHint  = "cost" // milliseconds
	fieldMemoryKB  = "kb"
	fieldRank      = "rank"
	fieldToken     = "token"
	fieldHops      = "passed"
	fieldDeep      = "deep" // 1: a health check that tests the runtime
)

// The fields beside a result or error.
const (
	fieldLoadReport = "say"
	fieldRetryAfter = "after" // milliseconds
	fieldNoFailover = "last"  // 1: yes
	fieldReason     = "why"
)

// ErrorCode is the error of a response, as the wire has it.
type ErrorCode string

// The error codes. A peer may send others; then the request may have run.
const (
	CodeNone   ErrorCode = ""       // the request succeeded
	CodeBusy   ErrorCode = "Busy"   // it was rejected, and never ran
	CodeFailed ErrorCode = "Failed" // it failed, and may have run
	CodeDenied ErrorCode = "Denied" // the caller may not make it, and it never ran
)

const (
	// maxHops is how many processes may have forwarded a request: two are usual, so what has more goes in a circle.
	maxHops = 8
	// maxBodyBytes is the longest body of a request.
	maxBodyBytes = 2 << 10
	// requestIDBytes is the length of each request id.
	requestIDBytes = 16
	// maxDepth limits the recursion over nested values.
	maxDepth = 16
)

// The tags of MessagePack that are used here. A fixed tag holds the length, or the number, in its low bits.
const (
	tagFixMap         = 0x80
	tagFixArray       = 0x90
	tagFixString      = 0xa0
	tagNil            = 0xc0
	tagFalse          = 0xc2
	tagTrue           = 0xc3
	tagBin8           = 0xc4
	tagBin16          = 0xc5
	tagBin32          = 0xc6
	tagExt8           = 0xc7
	tagExt32          = 0xc9
	tagFloat32        = 0xca
	tagFloat64        = 0xcb
	tagUint8          = 0xcc
	tagUint32         = 0xce
	tagUint64         = 0xcf
	tagInt8           = 0xd0
	tagInt64          = 0xd3
	tagFixExt1        = 0xd4
	tagFixExt16       = 0xd8
	tagString8        = 0xd9
	tagString16       = 0xda
	tagString32       = 0xdb
	tagArray16        = 0xdc
	tagArray32        = 0xdd
	tagMap16          = 0xde
	tagMap32          = 0xdf
	tagNegativeFixInt = 0xe0

	fixMapMask    = 0x0f // the bits of the length
	fixArrayMask  = 0x0f
	fixStringMask = 0x1f
)
