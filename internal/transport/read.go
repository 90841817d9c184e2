package transport

import "time"

// handleInput parses the complete messages in b, together with a partial message before it, and passes their
// handlers to the owner loop in one call. It runs on the poller, or on the goroutine of a TLS stream.
func (c *Conn) handleInput(b []byte) {
	var calls []func()
	err := c.parseInput(b, &calls)
	if len(c.partial) == 0 && c.partial != nil {
		c.net.Put(c.partial)
		c.partial = nil
		c.partialSince.Store(0)
	}
	if err != nil {
		c.ignoresInput = true
		calls = append(calls, func() { c.handleUnreadable(err.Error()) })
	}
	if len(calls) > 0 {
		c.net.PostRead(calls...)
	}
}

func (c *Conn) handleUnreadable(code string) {
	if c.handler.OnUnreadable != nil {
		c.handler.OnUnreadable(code)
		return
	}
	c.Close(code)
}

// parseInput parses b, which continues the partial message if there is one, and stores an incomplete message at
// its end.
func (c *Conn) parseInput(b []byte, calls *[]func()) error {
	for len(b) > 0 && !c.ignoresInput && !c.closing.Load() {
		if len(c.partial) == 0 {
			return c.parseWithoutPartial(b, calls)
		}
		n, err := c.parseWithPartial(b, calls)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// parseWithoutPartial parses b, which starts at the beginning of a message, and stores an incomplete rest.
func (c *Conn) parseWithoutPartial(b []byte, calls *[]func()) error {
	n, err := c.parseMessages(b, calls)
	b = b[n:]
	if err != nil || len(b) == 0 || c.ignoresInput {
		return err
	}
	if len(b) >= BufferSize {
		return ErrTooLong
	}
	if c.partial == nil {
		c.partial = c.net.Get()
		c.partialSince.Store(time.Now().UnixNano())
	}
	c.partial = append(c.partial[:0], b...)
	return nil
}

// parseWithPartial appends as many bytes of b to the partial message as fit into a buffer, parses the result, and
// returns the number of bytes taken.
func (c *Conn) parseWithPartial(b []byte, calls *[]func()) (taken int, err error) {
	taken = min(len(b), BufferSize-len(c.partial))
	if taken == 0 {
		return 0, ErrTooLong
	}
	c.partial = append(c.partial, b[:taken]...)
	n, err := c.parseMessages(c.partial, calls)
	if n > 0 {
		c.partial = c.partial[:copy(c.partial, c.partial[n:])]
		c.partialSince.Store(time.Now().UnixNano())
	}
	if err != nil || c.ignoresInput {
		c.partial = c.partial[:0]
	}
	return taken, err
}

// parseMessages parses the complete messages at the start of b and returns the number of bytes used.
func (c *Conn) parseMessages(b []byte, calls *[]func()) (used int, err error) {
	for used < len(b) && !c.ignoresInput {
		n, call, err := c.handler.Parse(b[used:])
		if err != nil || n == 0 {
			return used, err
		}
		used += n
		if call != nil {
			*calls = append(*calls, call)
		}
	}
	return used, nil
}

// IgnoreInput discards all input after the message that is being parsed. It must be called only by Handler.Parse.
func (c *Conn) IgnoreInput() { c.ignoresInput = true }

// PartialFor returns how long the message being received has been incomplete, or 0 if there is none. It may be called
// from any goroutine.
func (c *Conn) PartialFor(now time.Time) time.Duration {
	if since := c.partialSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since))
	}
	return 0
}

// HasPartial reports whether an incomplete message has been received. It may be called from any goroutine.
func (c *Conn) HasPartial() bool { return c.partialSince.Load() != 0 }
