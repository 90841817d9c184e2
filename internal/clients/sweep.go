package clients

import "time"

const (
	sweepInterval = 100 * time.Millisecond
	// goAwayGrace is the time that a client has to close its connection after it was asked to go away.
	goAwayGrace = 250 * time.Millisecond
	// messageTimeout is the time limit for receiving the first message, and for completing any message. It
	// allows for many round trips on a poor link.
	messageTimeout = 1500 * time.Millisecond
	// handshakeTimeout is the time limit for a TLS handshake. It allows for two round trips, each delayed by a
	// second.
	handshakeTimeout = 3 * time.Second
	// closeTimeout is the time that a client has to read its last responses and close its side.
	closeTimeout = time.Second
	// maxSweepDelay is the time between two sweeps beyond which the process is assumed to have been suspended.
	maxSweepDelay = 5 * sweepInterval
)

// Sweep checks all connections and schedules itself to do so repeatedly. It asks clients whose connections have
// been unused for the idle timeout to go away. It closes connections on which no complete message is received,
// which would otherwise fill the connection table by the hundred. It must be called once, to start the sweeps.
func (f *Frontend) Sweep() {
	now := f.loop.Now()
	// If the process was suspended, the messages that arrived meanwhile have not been read yet. The absence of
	// messages is then no reason to close a connection.
	suspended := now-f.lastSweep > maxSweepDelay
	f.lastSweep = now
	if f.authenticator != nil {
		f.recheckCredentials()
	}
	for _, c := range f.connections {
		f.sweep(c, suspended)
	}
	f.loop.ScheduleAt(now+sweepInterval, f.Sweep)
}

// sweep checks one connection.
func (f *Frontend) sweep(c *connection, suspended bool) {
	unused := c.unusedFor()
	switch {
	case c.closeReason != "":
		if unused > closeTimeout {
			c.conn.Abort()
		}
	case c.conn.PartialFor(f.loop.WallTime()) > messageTimeout && !suspended:
		c.failAndClose(closeReadTimeout)
	case c.conn.Handshaking():
		if unused > handshakeTimeout && !suspended {
			c.close(closeHandshakeTimeout)
		}
	case c.inUse() || c.conn.HasPartial(): // a partly received request would have to be sent again elsewhere
	case !c.received && unused > messageTimeout && !suspended:
		c.close(closeFirstMessageTimeout)
	case c.goAwayRequested:
		if f.loop.Now()-max(c.goAwayRequestedAt, c.lastUsed) > goAwayGrace {
			c.close(closeIdle)
		}
	case f.idleTimeout > 0 && unused > f.idleTimeout:
		c.goAway()
	}
}
