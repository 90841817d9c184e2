package clients

import "time"

const (
	// inFlightGrace is the time for which a connection is kept after its last use. It is twice the time that a
	// request sent before the client sees the close may take to arrive.
	inFlightGrace = 100 * time.Millisecond
	// reuseGrace replaces inFlightGrace for connections on which a message has been received.
	reuseGrace = time.Second
)

// EvictIdle makes room for a connection that waits to be accepted. It closes the connection that has been
// unused for longest, and prefers connections on which no complete message has ever been received. If all
// connections are in use, it closes none.
func (f *Frontend) EvictIdle() {
	var candidate, closing *connection
	handshakes, maxHandshakes := f.net.Handshakes()
	onlyHandshaking := handshakes >= maxHandshakes // there is room for connections, but for no further handshake
	for _, c := range f.connections {
		if c.closeReason != "" && (closing == nil || c.lastUsed < closing.lastUsed) {
			closing = c
		}
		if !c.evictable() || onlyHandshaking && !c.conn.Handshaking() {
			continue
		}
		if candidate == nil || c.evictedBefore(candidate) {
			candidate = c
		}
	}
	switch {
	case closing != nil && closing.unusedFor() > inFlightGrace: // the client has had time to read its last responses
		closing.conn.Abort()
	case candidate != nil:
		candidate.close(closeEvicted)
	}
}

// evictable reports whether the connection may be closed to make room.
func (c *connection) evictable() bool {
	if c.closeReason != "" || c.inUse() {
		return false
	}
	if c.received {
		return c.unusedFor() >= reuseGrace
	}
	return c.unusedFor() >= inFlightGrace
}

// evictedBefore reports whether the connection is to be evicted rather than the other one.
func (c *connection) evictedBefore(other *connection) bool {
	if c.received != other.received {
		return !c.received
	}
	return c.lastUsed < other.lastUsed
}
