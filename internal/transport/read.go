package transport

import "time"

// received runs on the poller: it takes whole messages off the bytes and hands them over together.
func (l *Conn) received(b []byte) {
	var calls []func()
	problem := ""
	for len(b) > 0 && !l.ignoresInput && !l.closing.Load() {
		if len(l.partial) == 0 {
			var n int
			n, problem = l.parseMessages(b, &calls)
			b = b[n:]
			if problem != "" || len(b) == 0 || l.ignoresInput {
				break
			}
			if len(b) >= BufferSize {
				problem = "too-long"
				break
			}
			if l.partial == nil {
				l.partial = l.net.Get()
				l.partialSince.Store(time.Now().UnixNano())
			}
			l.partial = append(l.partial[:0], b...)
			break
		}
		size := min(len(b), BufferSize-len(l.partial))
		if size == 0 {
			problem = "too-long"
			break
		}
		l.partial = append(l.partial, b[:size]...)
		b = b[size:]
		var n int
		n, problem = l.parseMessages(l.partial, &calls)
		if n > 0 {
			l.partial = l.partial[:copy(l.partial, l.partial[n:])]
			l.partialSince.Store(time.Now().UnixNano())
		}
		if problem != "" || l.ignoresInput {
			l.partial = l.partial[:0]
			break
		}
	}
	if len(l.partial) == 0 && l.partial != nil {
		l.net.Put(l.partial)
		l.partial = nil
		l.partialSince.Store(0)
	}
	if problem != "" {
		l.ignoresInput = true
		calls = append(calls, func() {
			if l.onUnreadable == nil {
				l.Close(problem)
			} else {
				l.onUnreadable(problem)
			}
		})
	}
	if len(calls) > 0 {
		l.net.PostRead(calls...)
	}
}

func (l *Conn) parseMessages(b []byte, calls *[]func()) (used int, problem string) {
	for used < len(b) && !l.ignoresInput {
		n, call, problem := l.parse(b[used:])
		if problem != "" || n == 0 {
			return used, problem
		}
		used += n
		if call != nil {
			*calls = append(*calls, call)
		}
	}
	return used, ""
}

// PartialFor tells how long a message has been coming without an end.
func (l *Conn) PartialFor(now time.Time) time.Duration {
	if since := l.partialSince.Load(); since != 0 {
		return now.Sub(time.Unix(0, since))
	}
	return 0
}

// HasPartial tells whether a message has begun to come.
func (l *Conn) HasPartial() bool { return l.partialSince.Load() != 0 }
