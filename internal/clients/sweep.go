package clients

import "time"

const (
	sweepInterval = 100 * time.Millisecond
	// goAwayGrace is how long a client has to close its connection after it was asked to go away.
	goAwayGrace = 250 * time.Millisecond
	// messageTimeout is how long the first message may take to come, and any message to be completed: many round trips
	// on a poor link.
	messageTimeout = 1500 * time.Millisecond
	// handshakeTimeout is how long a TLS handshake may take: two round trips, each of which may come a second late.
	handshakeTimeout = 3 * time.Second
	// closeTimeout is how long a client may take to read its last responses and close its side.
	closeTimeout = time.Second
	// maxSweepDelay is how late a sweep may come before the process counts as suspended.
	maxSweepDelay = 5 * sweepInterval
)

// Sweep looks through all connections, again and again: it asks clients to go away that have not used theirs for
// the idle timeout, and closes those on which nothing whole comes, which would fill the table by the hundred. It is
// called once.
func (f *Frontend) Sweep() {
	now := f.loop.Now()
	// After a process was suspended, what came meanwhile has not been read yet: silence proves nothing.
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

// sweep looks at one connection.
func (f *Frontend) sweep(c *connection, suspended bool) {
	unused := c.unusedFor()
	switch {
	case c.closeReason != "":
		if unused > closeTimeout {
			c.conn.Abort()
		}
	case c.conn.PartialFor(f.loop.WallTime()) > messageTimeout && !suspended:
		c.failAll(closeReadTimeout)
	case c.conn.Handshaking():
		if unused > handshakeTimeout && !suspended {
			c.close(closeHandshakeTimeout)
		}
	case c.inUse() || c.conn.HasPartial(): // a request whose message is cut off would have to begin again elsewhere
	case !c.received && unused > messageTimeout && !suspended:
		c.close(closeFirstMessageTimeout)
	case c.asked:
		if f.loop.Now()-max(c.askedAt, c.lastUsed) > goAwayGrace {
			c.close(closeIdle)
		}
	case f.idleTimeout > 0 && unused > f.idleTimeout:
		c.goAway()
	}
}
