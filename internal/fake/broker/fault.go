package broker

import "time"

// Fault is one scripted fault of a connection at one of its frames.
type Fault struct {
	Connection int // number of the connection, from 1
	Frame      int // number of the frame, from 1 after the handshake; both directions are counted together
	Mode       FaultMode
	Duration   time.Duration // duration of a stall
}

// FaultMode is the effect of a fault.
type FaultMode int

// The fault modes.
const (
	Disconnect    FaultMode = iota // the connection ends after the frame
	TruncateFrame                  // the connection ends in the middle of the frame, which does not arrive
	Stall                          // handling of the frame is delayed by Duration; received frames only
)

// nextFault counts a frame and returns its scripted fault, or nil if there is none. Frames of the handshake are not
// counted.
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
