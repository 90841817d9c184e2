package clients

import "time"

const (
	// crossingGrace is how long a connection is kept after its last use: twice what a request may take to come that was
	// sent before its client saw the close.
	crossingGrace = 100 * time.Millisecond
	// reuseGrace is the same for connections on which messages have come.
	reuseGrace = time.Second
)

// EvictIdle makes room for a connection that waits to be accepted. It closes the connection that has been unused for
// longest, those first on which nothing whole has ever come; none, if all are in use.
func (f *Frontend) EvictIdle() {
	var candidate, closing *connection
	handshakes, maxHandshakes := f.net.Handshakes()
	onlyHandshaking := handshakes >= maxHandshakes // there is room for connections, but for no more handshakes
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
	case closing != nil && closing.unusedFor() > crossingGrace: // it has had time to read its last responses
		closing.conn.Abort()
	case candidate != nil:
		candidate.close(closeEvicted)
	}
}

// evictable tells whether the connection may be closed to make room.
func (c *connection) evictable() bool {
	if c.closeReason != "" || c.inUse() {
		return false
	}
	if c.received {
		return c.unusedFor() >= reuseGrace
	}
	return c.unusedFor() >= crossingGrace
}

// evictedBefore tells whether the connection is the one to close of the two.
func (c *connection) evictedBefore(other *connection) bool {
	if c.received != other.received {
		return !c.received
	}
	return c.lastUsed < other.lastUsed
}
