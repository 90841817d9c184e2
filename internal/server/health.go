package server

// health is how health checks are answered, as the controller last set it. Owned by the event loop.
type health struct {
	healthy   bool
	fromState bool // deep checks are answered by healthy, too
}

// healthy tells whether a check is answered as healthy: never before the runtime has come up.
func (s *Server) healthy() bool { return s.controller != nil && s.health.healthy }

// CheckHealth implements clients.Server. A deep check has the runtime carry out a self-test, unless the controller has
// set that its state answers.
func (s *Server) CheckHealth(deep bool, then func(healthy bool)) {
	fromState := !deep || s.health.fromState
	if fromState || !s.healthy() || !s.runtime.synced {
		then(s.healthy() && (s.runtime.synced || fromState))
		return
	}
	s.selfTests.run(func(healthy bool) { then(healthy && s.healthy()) })
}
