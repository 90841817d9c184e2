package transport

import "time"

// handleInput cuts whole messages off the bytes and hands them over together. It runs on the poller, or on the goroutine
// of a TLS stream.
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

// parseInput parses the bytes behind the partial message, if there is one, and keeps what is not complete.
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

// parseWithoutPartial parses bytes that begin with a message.
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

// parseWithPartial takes as many of the bytes as fit behind the partial message, and parses both.
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

// IgnoreInput drops what comes behind the message that is being parsed. It is for Handler.Parse alone.
func (c *Conn) IgnoreInput() { c.ignoresInput = true }

// PartialFor tells for how long a message has been incomplete; 0: there is none.
func (c *Conn) PartialFor(now time.Time) time.Duration {
	if since := c.partialSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since))
	}
	return 0
}

// HasPartial tells whether a part of a message was read.
func (c *Conn) HasPartial() bool { return c.partialSince.Load() != 0 }
