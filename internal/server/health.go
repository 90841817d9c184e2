package server

// healthy tells whether a check is answered as healthy: never before the runtime has come up.
func (s *Server) healthy() bool { return s.controller != nil && s.health.Healthy }

// CheckHealth implements clients.Server. A deep check has the runtime carry out a self-test, unless the controller has
// set that its state answers.
func (s *Server) CheckHealth(deep bool, callback func(healthy bool)) {
	fromState := !deep || s.health.FromState
	if fromState || !s.healthy() || !s.runtime.synced {
		callback(s.healthy() && (s.runtime.synced || fromState))
		return
	}
	s.selfTests.run(func(healthy bool) { callback(healthy && s.healthy()) })
}
