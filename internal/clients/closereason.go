package clients

import "lanewheel/internal/frontend"

// closeReason is why a connection was closed, as the log has it. Reasons that transport finds, and those of revoked
// certificates, which are an authz.Denial, come beside these.
type closeReason string

const (
	closeShutdown            closeReason = "shutdown"              // the end of a drain
	closeIdle                closeReason = "idle-timeout"          // unused, and still open after it was asked to go away
	closeEvicted             closeReason = "evicted"               // the longest unused one, when there was no room
	closeFirstMessageTimeout closeReason = "first-message-timeout" // nothing whole has ever come
	closeReadTimeout         closeReason = "read-timeout"          // a message that was begun was not completed
	closeHandshakeTimeout    closeReason = "handshake-timeout"
	closeDuplicateMessageID  closeReason = "duplicate-message-id" // of a pending request
	closeDuplicateRequestID  closeReason = "duplicate-request-id" // of a request that is pending on the same connection
	closeTooManyPending      closeReason = "too-many-pending"
	closeUnknownRequest      closeReason = "unknown-request" // the runtime knows no such request
	closeUnknownClass        closeReason = "unknown-class"   // of this and the next three, the last of several in a row
	closeUnknownTenant       closeReason = "unknown-tenant"
	closeOutOfRange          closeReason = "out-of-range"
	closeDenied              closeReason = "denied"
)

// closeReasonFor translates the code of a request that could never be served.
func closeReasonFor(code frontend.RejectionCode) closeReason {
	switch code {
	case frontend.UnknownRequest:
		return closeUnknownRequest
	case frontend.UnknownClass:
		return closeUnknownClass
	case frontend.UnknownTenant:
		return closeUnknownTenant
	case frontend.OutOfRange:
		return closeOutOfRange
	case frontend.Denied:
		return closeDenied
	}
	return closeReason(code)
}
