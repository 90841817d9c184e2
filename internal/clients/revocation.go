package clients

// maxRechecksPerSweep is the maximum number of credentials that one sweep rechecks after keys, authorities or
// revocation lists have changed. In addition, the credential is checked at each request.
const maxRechecksPerSweep = 64

// recheckCredentials closes connections whose certificates have been revoked, including connections without
// requests. Each is closed as soon as nothing is pending on it.
func (f *Frontend) recheckCredentials() {
	f.authenticator.Sweep()
	rechecks := 0
	for _, c := range f.connections {
		if rechecks >= maxRechecksPerSweep {
			return
		}
		if c.closeReason == "" && f.authenticator.NeedsRecheck(&c.credential) {
			rechecks++
			c.closeIfRevoked()
		}
	}
}

// closeIfRevoked reports whether the certificate of the connection has been revoked. If so, the connection is
// closed as soon as nothing is pending on it.
func (c *connection) closeIfRevoked() bool {
	if c.frontend.authenticator == nil {
		return false
	}
	reason := c.frontend.authenticator.RevocationReason(&c.credential)
	if reason == "" {
		return false
	}
	c.closeWhenUnused(closeReason(reason))
	return true
}

// closeWhenUnused asks the client to go away and closes the connection after the last response. Requests that
// have been read are still answered.
func (c *connection) closeWhenUnused(reason closeReason) {
	if c.deferredCloseReason != "" || c.closeReason != "" {
		return
	}
	c.deferredCloseReason = reason
	c.goAway()
	c.finishDeferredClose()
}

// finishDeferredClose closes the connection if closeWhenUnused has been called and nothing is pending.
func (c *connection) finishDeferredClose() {
	if c.deferredCloseReason == "" || c.inUse() || c.closeReason != "" {
		return
	}
	// The close is posted, so that the response that is being sent is written first.
	c.frontend.loop.ScheduleAt(c.frontend.loop.Now(), func() {
		if len(c.pending) == 0 && c.closeReason == "" {
			c.close(c.deferredCloseReason)
		}
	})
}
