package broker

import "time"

// Fault is one failure of the script: what happens to a connection, numbered from 1, at one of its frames, in both
// directions together, numbered from 1 behind the handshake.
type Fault struct {
	Connection int
	Frame      int
	Mode       FaultMode
	Duration   time.Duration // of a stall
}

// FaultMode is what a fault does.
type FaultMode int

// The modes of faults.
const (
	Disconnect    FaultMode = iota // the connection ends behind the frame
	TruncateFrame                  // the connection ends in the middle of the frame, which does not arrive
	Stall                          // nothing moves for a while; of frames that come in alone
)

// nextFault counts a frame and gives the fault that the script has for it; nil: none.
func (c *connection) nextFault() *Fault {
	if !c.opened {
		return nil
	}
	c.frames++
	c.broker.frameCounts[c.number] = c.frames
	for i := range c.broker.faults {
		if fault := &c.broker.faults[i]; fault.Connection == c.number && fault.Frame == c.frames {
			return fault
		}
	}
	return nil
}
