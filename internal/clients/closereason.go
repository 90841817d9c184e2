package clients

import "lanewheel/internal/frontend"

// closeReason is the reason for closing a connection, as written to the log. Besides the constants below, there
// are the error codes of packages transport and rpc and, for certificates that are no longer valid, the values of
// authz.Denial.
type closeReason string

const (
	closeShutdown            closeReason = "shutdown"              // still open at the end of a drain
	closeIdle                closeReason = "idle-timeout"          // unused; the client was asked to go away and did not
	closeEvicted             closeReason = "evicted"               // unused for longest when there was no room
	closeFirstMessageTimeout closeReason = "first-message-timeout" // no complete message has ever been received
	closeReadTimeout         closeReason = "read-timeout"          // a message was received only in part
	closeHandshakeTimeout    closeReason = "handshake-timeout"
	closeDuplicateMessageID  closeReason = "duplicate-message-id" // message id of a pending request
	closeDuplicateRequestID  closeReason = "duplicate-request-id" // request id of a request pending on the connection
	closeTooManyPending      closeReason = "too-many-pending"
	closeUnknownRequest      closeReason = "unknown-request" // the runtime does not know the request's class or body

	// Reasons for closing after several consecutive invalid requests. The last of these requests determines the reason.

	closeUnknownClass  closeReason = "unknown-class"
	closeUnknownTenant closeReason = "unknown-tenant"
	closeOutOfRange    closeReason = "out-of-range"
	closeDenied        closeReason = "denied"
)

// closeReasonFor returns the close reason for the rejection code of a request that can never be served.
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
