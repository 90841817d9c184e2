package server

import (
	"time"

	"lanewheel/internal/frontend"
	"lanewheel/internal/transport"
)

// Spillover is where an op may go that the module has turned away here. It belongs to the owner loop.
type Spillover interface {
	// Came tells that an op has come here.
	RequestArrived()
	// Take takes what is owed of an op, or gives nil if it does not, or has answered it at once. What is taken is answered by due.
	Forward(ask frontend.Request, due time.Duration, repeats bool, owed frontend.Responder) frontend.Handle
	// Gone tells that nobody waits any more for one that was taken.
	Cancel(frontend.Handle)
}

// EnableSpillover has ops that are turned away here go elsewhere where that takes them. It belongs to the time before Serve.
func (in *Server) EnableSpillover(newSpillover func(net *transport.Net) Spillover) {
	in.spillover = newSpillover(in.net)
	in.net.ReadHops.Store(true)
}

// spill gives an op that the module has turned away to another instance, and tells whether that has it now. The module is done with it.
func (in *Server) spill(active *activeRequest) bool {
	// One that runs, or waits for another's result, or whose caller is known by his connection, stays.
	if active.original == nil || active.responder == nil || active.run != nil || active.onCoalesced != nil || in.draining || in.authenticator != nil && active.original.Token == "" {
		return false
	}
	request := *active.original
	request.Body = active.body
	in.idempotency.finish(in, active, nil)
	active.outsideController, active.original = true, nil
	in.spilledOver++
	responder := &spilledResponder{in, active}
	active.spilloverHandle = responder // it is elsewhere before it may come back
	if handle := in.spillover.Forward(request, active.deadline, in.idempotent[active.class], responder); handle != nil {
		active.spilloverHandle = handle
		return true
	}
	if active.responder == nil { // it is answered
		return true
	}
	in.spilledOver--
	active.spilloverHandle = nil
	return false
}

// spilledResponder is an op that is elsewhere: a front.Owed.
type spilledResponder struct {
	server  *Server
	request *activeRequest
}

func (h *spilledResponder) Succeed(result []byte, metadata frontend.ResponseMetadata) {
	h.server.respond(h.request, func(responder frontend.Responder) { responder.Succeed(result, h.server.metadata()) })
}

func (h *spilledResponder) Reject(metadata frontend.ResponseMetadata) {
	metadata.LoadReport = h.server.loadReport
	h.server.respond(h.request, func(responder frontend.Responder) { responder.Reject(metadata) })
}

func (h *spilledResponder) Fail(frontend.ResponseMetadata) {
	h.server.respond(h.request, func(responder frontend.Responder) { responder.Fail(h.server.metadata()) })
}

func (h *spilledResponder) RejectPermanently(code string, metadata frontend.ResponseMetadata) {
	metadata.LoadReport = h.server.loadReport
	h.server.respond(h.request, func(responder frontend.Responder) { responder.RejectPermanently(code, metadata) })
}

func (h *spilledResponder) Done() { h.server.returnFromSpillover(h.request) }

// returnFromSpillover forgets that an op is elsewhere.
func (in *Server) returnFromSpillover(active *activeRequest) {
	if active.spilloverHandle != nil {
		active.spilloverHandle = nil
		in.spilledOver--
		in.forget(active)
	}
}
