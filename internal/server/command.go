package server

import "time"

// commandLossWindow is how long before the end of a link a command may have been sent and still be lost with it.
const commandLossWindow = 50 * time.Millisecond

// commandState is what the instance knows about the delivery of a command to the runtime.
type commandState int

const (
	commandUnsent    commandState = iota // no link has carried the command
	commandSent                          // the link in use has carried it
	commandUncertain                     // an earlier link has carried it, and it may have been lost with that link
	commandArrived                       // it has arrived
)

// command is a command to a run that must not take effect twice. Owned by the event loop.
type command struct {
	state  commandState
	sentAt time.Duration // valid if the command has been sent
}

func (c *command) onSent(now time.Duration) {
	*c = command{state: commandSent, sentAt: now}
}

// onLinkLost handles the end of the link in use. The commands that were sent on it before arrivedUntil have arrived.
func (c *command) onLinkLost(arrivedUntil time.Duration) {
	if c.state != commandSent {
		return
	}
	c.state = commandUncertain
	if c.sentAt < arrivedUntil {
		c.state = commandArrived
	}
}

// arrivalProof finds out which commands have arrived on a link. The runtime handles the commands of a link in order, so
// the answer to a request for gauges proves that the commands before it have arrived. As a link may lose the commands
// that were sent within commandLossWindow of its end, only those count that were sent that long before the request.
// Owned by the event loop.
type arrivalProof struct {
	requestID    string // correlation ID of the request for gauges whose answer is awaited; empty if there is none
	requestedAt  time.Duration
	arrivedUntil time.Duration // commands sent before this time have arrived
}

func (p *arrivalProof) onGaugesRequested(correlationID string, now time.Duration) {
	if p.requestID == "" {
		p.requestID = correlationID
		p.requestedAt = now
	}
}

func (p *arrivalProof) onGauges(correlationID string) {
	if p.requestID != "" && correlationID == p.requestID {
		p.requestID = ""
		p.arrivedUntil = p.requestedAt - commandLossWindow
	}
}
