package clients

import "lanewheel/internal/frontend"

// closeReason is the reason for closing a connection, as written to the log. Besides the constants below, there
// are the codes of package transport and, for revoked certificates, the values of authz.Denial.
type closeReason string

const (
	closeShutdown            closeReason = "shutdown"              // a drain has reached its end
	closeIdle                closeReason = "idle-timeout"          // unused; the client was asked to go away and did not
	closeEvicted             closeReason = "evicted"               // unused for longest when there was no room
	closeFirstMessageTimeout closeReason = "first-message-timeout" // no complete message has ever been received
	closeReadTimeout         closeReason = "read-timeout"          // a message was received only in part
	closeHandshakeTimeout    closeReason = "handshake-timeout"
	closeDuplicateMessageID  closeReason = "duplicate-message-id" // equals that of a pending request
	closeDuplicateRequestID  closeReason = "duplicate-request-id" // equals that of a request pending on the connection
	closeTooManyPending      closeReason = "too-many-pending"
	closeUnknownRequest      closeReason = "unknown-request" // the runtime does not know the request

	// The code of the last of several consecutive invalid requests:

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
