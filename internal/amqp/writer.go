package amqp

// enqueue has the writer do a step. Its error means that the channel or connection is gone, which the session hears
// otherwise. The queue is bounded by what is in flight: some steps for each message. Any goroutine may call it.
func (s *session) enqueue(step func() error) {
	s.mu.Lock()
	s.steps = append(s.steps, step)
	s.mu.Unlock()
	s.wake.Signal()
}

// writeLoop is the writer: it does the steps in order until stopWriter.
func (s *session) writeLoop() {
	for {
		steps, ok := s.nextSteps()
		if !ok {
			return
		}
		for _, step := range steps {
			_ = step() // see enqueue
		}
	}
}

// nextSteps waits for steps. It returns false once the writer is to stop.
func (s *session) nextSteps() ([]func() error, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	for len(s.steps) == 0 && !s.stopped {
		s.wake.Wait()
	}
	if s.stopped {
		return nil, false
	}
	steps := s.steps
	s.steps = nil
	s.busy = true
	return steps, true
}

func (s *session) stopWriter() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.wake.Broadcast()
}

// idle tells whether all is written and confirmed.
func (s *session) idle() bool {
	s.flushAcks()
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.steps) == 0 && !s.busy && s.unconfirmed == 0
}
