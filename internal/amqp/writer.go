package amqp

// enqueue queues a call for the writer. If the call returns an error, the channel or connection has closed, and
// the session is notified of that separately. The number of queued calls is bounded by the messages in flight, each of
// which needs only a few. Any goroutine may call enqueue.
func (s *session) enqueue(call func() error) {
	s.mu.Lock()
	s.pendingCalls = append(s.pendingCalls, call)
	s.mu.Unlock()
	s.wake.Signal()
}

// writeLoop runs the writer: it makes the queued calls in order until stopWriter is called.
func (s *session) writeLoop() {
	for {
		calls, ok := s.nextCalls()
		if !ok {
			return
		}
		for _, call := range calls {
			_ = call() // the error is reported separately, see enqueue
		}
	}
}

// nextCalls waits for queued calls and returns them. It returns false if the writer must stop.
func (s *session) nextCalls() ([]func() error, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writerBusy = false
	for len(s.pendingCalls) == 0 && !s.writerStopped {
		s.wake.Wait()
	}
	if s.writerStopped {
		return nil, false
	}
	calls := s.pendingCalls
	s.pendingCalls = nil
	s.writerBusy = true
	return calls, true
}

// stopWriter makes the writer stop. It drops the calls that the writer has not taken yet.
func (s *session) stopWriter() {
	s.mu.Lock()
	s.writerStopped = true
	s.mu.Unlock()
	s.wake.Broadcast()
}

// idle sends pending acks and reports whether the writer has made all calls and the broker has confirmed all messages.
func (s *session) idle() bool {
	s.flushAcks()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pendingCalls) == 0 && !s.writerBusy && s.unconfirmed == 0
}
