package clients

// maxRechecksPerSweep is how many credentials are checked again in one sweep after keys, authorities or revocation
// lists have changed. Each request has its credential checked besides.
const maxRechecksPerSweep = 64

// recheckCredentials bars connections whose certificates have been revoked, used or not.
func (f *Frontend) recheckCredentials() {
	f.authenticator.Sweep()
	rechecks := 0
	for _, c := range f.connections {
		if rechecks >= maxRechecksPerSweep {
			return
		}
		if c.closeReason == "" && f.authenticator.NeedsRecheck(&c.credential) {
			rechecks++
			c.barIfRevoked()
		}
	}
}

// barIfRevoked bars the connection if its certificate is revoked, and tells whether it is.
func (c *connection) barIfRevoked() bool {
	if c.frontend.authenticator == nil {
		return false
	}
	reason := c.frontend.authenticator.RevocationReason(&c.credential)
	if reason == "" {
		return false
	}
	c.bar(closeReason(reason))
	return true
}

// bar takes nothing more from the connection. What was read is answered; the connection is closed after the last
// response.
func (c *connection) bar(reason closeReason) {
	if c.barredReason != "" || c.closeReason != "" {
		return
	}
	c.barredReason = reason
	c.goAway()
	c.closeIfBarred()
}

func (c *connection) closeIfBarred() {
	if c.barredReason == "" || c.inUse() || c.closeReason != "" {
		return
	}
	// The response that is being given is written before the close.
	c.frontend.loop.ScheduleAt(c.frontend.loop.Now(), func() {
		if len(c.pending) == 0 && c.closeReason == "" {
			c.close(c.barredReason)
		}
	})
}
