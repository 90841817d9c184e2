package server

// healthy reports whether the controller considers the instance healthy. It is false until the runtime is ready.
func (s *Server) healthy() bool { return s.controller != nil && s.health.Healthy }

// CheckHealth implements clients.Server. A deep check makes the runtime carry out a self-test, unless the controller
// has set that checks are answered from its state.
func (s *Server) CheckHealth(deep bool, callback func(healthy bool)) {
	fromState := !deep || s.health.FromState
	if fromState || !s.healthy() || !s.runtime.synced {
		callback(s.healthy() && (s.runtime.synced || fromState))
		return
	}
	s.selfTests.run(func(healthy bool) { callback(healthy && s.healthy()) })
}
