package amqp

// enqueue adds a call for the writer to make. If the call returns an error, the channel or connection has closed, and
// the session is notified of that separately. The number of queued calls is bounded by the messages in flight, each of
// which needs only a few. Any goroutine may call enqueue.
func (s *session) enqueue(step func() error) {
	s.mu.Lock()
	s.steps = append(s.steps, step)
	s.mu.Unlock()
	s.wake.Signal()
}

// writeLoop runs the writer: it makes the queued calls in order until stopWriter is called.
func (s *session) writeLoop() {
	for {
		steps, ok := s.nextSteps()
		if !ok {
			return
		}
		for _, step := range steps {
			_ = step() // the error is reported separately, see enqueue
		}
	}
}

// nextSteps waits for queued calls and returns them. It returns false if the writer must stop.
func (s *session) nextSteps() ([]func() error, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writerBusy = false
	for len(s.steps) == 0 && !s.writerStopped {
		s.wake.Wait()
	}
	if s.writerStopped {
		return nil, false
	}
	steps := s.steps
	s.steps = nil
	s.writerBusy = true
	return steps, true
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
	return len(s.steps) == 0 && !s.writerBusy && s.unconfirmed == 0
}
