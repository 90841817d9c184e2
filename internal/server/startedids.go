package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/boundedmap"
)

// startedIDs remembers the requests that must not run twice and that may have run, by their IDs, after they have left
// the table of requests in flight. IDs are new with each attempt, so an ID that comes again is a copy of the same
// attempt: for example, its client has lost the connection and sends everything again. Owned by the event loop.
type startedIDs struct {
	limit   int
	entries boundedmap.Map[admission.RequestID, time.Duration] // time until which a copy may come
}

// startedIDsPerRequest is the number of IDs that are remembered for each request in flight that the memory allows.
const startedIDsPerRequest = 4

// add remembers an ID until a given time.
func (s *startedIDs) add(id admission.RequestID, until time.Duration) {
	s.entries.Put(id, until, s.limit)
}

// contains reports whether the request with this ID may have run.
func (s *startedIDs) contains(id admission.RequestID, now time.Duration) bool {
	until, found := s.entries.Get(id)
	return found && now < until
}

// rememberStarted remembers the ID of a request that is started here or forwarded, unless it may run twice. Attempts of
// a keyed request are recognized by their bodies.
func (s *Server) rememberStarted(active *activeRequest) {
	class := s.settings.classes[active.class]
	if class.idempotency == admission.NotIdempotent {
		s.startedIDs.add(active.id, s.Now()+class.timeout+lateReadGrace)
	}
}

// mayHaveRun reports whether a request with this ID, which must not run twice, may have run: it has been started, and
// its caller has been answered or has left.
func (s *Server) mayHaveRun(id admission.RequestID) bool {
	if active := s.requests.get(id); active != nil {
		return active.started && active.responder == nil && !s.mayRunAgain(active)
	}
	return s.startedIDs.contains(id, s.Now())
}
