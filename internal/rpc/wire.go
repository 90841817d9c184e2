// Package rpc implements the client and server sides of the protocol of client requests, which is based on
// MessagePack-RPC. A request is a call whose method is its class. No other package depends on MessagePack or on
// the names used on the wire; this package maps them to the fields of frontend.Request, frontend.ResponseMetadata
// and Response.
package rpc

import "lanewheel/internal/transport"

// errMalformed closes a connection whose peer violates the protocol.
const errMalformed transport.ParseError = "bad-message"

// The message kinds. The messages are [request, id, method, params], [response, id, error, result] and
// [notification, method, params].
const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2
)

// The numbers of elements of the messages.
const (
	requestParts      = 4
	responseParts     = 4
	notificationParts = 3
)

// The methods that are not request classes, with the params of their messages.
const (
	methodHealthCheck = "check"     // a request; params: [fields]
	methodCancel      = "interrupt" // a notification; params: [id]
	methodGoAway      = "goaway"    // a notification to the client; params: []
)

// The fields of a request, in addition to its body, or of a health check.
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
	fieldDeep      = "deep" // 1 if the health check also tests the runtime
)

// The fields that accompany a result or error.
const (
	fieldLoadReport = "say"
	fieldRetryAfter = "after" // milliseconds
	fieldNoFailover = "last"  // 1 if set
	fieldReason     = "why"
)

// ErrorCode is the error of a response, as sent on the wire.
type ErrorCode string

// The error codes. A peer may send other codes; the request may have run in that case.
const (
	CodeNone   ErrorCode = ""       // the request succeeded
	CodeBusy   ErrorCode = "Busy"   // the request was rejected and never ran
	CodeFailed ErrorCode = "Failed" // the request failed and may have run
	CodeDenied ErrorCode = "Denied" // the caller is not permitted to make the request, which never ran
)

const (
	// maxHops is the maximum number of processes that may have forwarded a request. Two are usual; a request that
	// exceeds the limit is being forwarded in a loop.
	maxHops = 8
	// maxBodyBytes is the maximum length of the body of a request.
	maxBodyBytes = 2 << 10
	// requestIDDigits is the number of hexadecimal digits of a request id.
	requestIDDigits = 16
	// maxNameBytes is the maximum length of the class, the tenant and the resource of a request.
	maxNameBytes = 128
	// maxTokenBytes is the maximum length of a token: the largest one that an operator may configure.
	maxTokenBytes = 4 << 10
	// maxDepth is the maximum nesting depth of values that are skipped.
	maxDepth = 16
)

// isRequestID reports whether a text is a request id. Ids go on to the runtime, in JSON, and to the database, in a
// header field. Other text could change on the way, so that the events of its run would belong to no request, or could
// add header fields.
func isRequestID(id string) bool {
	if len(id) != requestIDDigits {
		return false
	}
	for i := range len(id) {
		if !isHexDigit(id[i]) {
			return false
		}
	}
	return true
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// The MessagePack tags that are used. A fixed tag contains the length, or the number, in its low bits.
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

	fixMapMask    = 0x0f // the masks select the length
	fixArrayMask  = 0x0f
	fixStringMask = 0x1f
)
