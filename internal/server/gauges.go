package server

import (
	"time"

	"lanewheel/admission"
)

const (
	gaugeTimeout = 5 * time.Millisecond   // a few round trips on one host
	gaugeMaxAge  = 300 * time.Millisecond // older values are discarded
)

// gaugeReader requests the runtime's gauges for the controller. Owned by the event loop.
type gaugeReader struct {
	server    *Server
	values    admission.Gauges // of the last event
	updatedAt time.Duration
	requestID string // correlation ID of the pending request; empty if there is none
	waiters   []func(admission.Gauges)
}

// request calls callback with the gauges. If they do not arrive within gaugeTimeout, or there is no link to the
// runtime, it passes the last values, or nil if they are older than gaugeMaxAge. Calls that are made while a request is
// pending share its round trip.
func (g *gaugeReader) request(callback func(admission.Gauges)) {
	g.waiters = append(g.waiters, callback)
	if !g.server.runtime.synced {
		g.deliver()
		return
	}
	if g.requestID != "" {
		return
	}
	requestID := g.server.runtime.requestGauges(gaugesPrefix)
	g.requestID = requestID
	g.server.ScheduleAt(g.server.Now()+gaugeTimeout, func() {
		if g.requestID == requestID {
			g.deliver()
		}
	})
}

// update replaces the values with those of an event, which are in the order of the configured names.
func (g *gaugeReader) update(values []float64) {
	g.values = admission.Gauges{}
	g.updatedAt = g.server.Now()
	for i, name := range g.server.config.GaugeNames {
		if i < len(values) {
			g.values[name] = values[i]
		}
	}
}

// deliver passes the values to all waiters, or nil if the values are older than gaugeMaxAge. Without this limit, the
// last values from before the loss of a link would be used until there is a new link.
func (g *gaugeReader) deliver() {
	waiters := g.waiters
	g.waiters = nil
	g.requestID = ""
	values := g.values
	if g.server.Now()-g.updatedAt > gaugeMaxAge {
		values = nil
	}
	for _, callback := range waiters {
		g.server.decisionPending = true
		callback(values)
	}
}
