package server

// Why connections to the runtime and the database were closed, as the log has it.
const (
	closeAddressChanged = "address-changed"
	closeCallCanceled   = "call-canceled"
	closeCompleted      = "completed"
)
