package server

// Reasons for closing connections to the runtime and the database, as they appear in the log.
const (
	closeAddressChanged = "address-changed"
	closeCallCanceled   = "call-canceled"
	closeCompleted      = "completed"
)
