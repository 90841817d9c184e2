package server

import (
	"time"

	"lanewheel/admission"
)

const (
	gaugeTimeout = 5 * time.Millisecond   // some round trips on one machine
	gaugeMaxAge  = 300 * time.Millisecond // older values are no longer believed
)

// gaugeReader requests the runtime's gauges for the controller. Owned by the event loop.
type gaugeReader struct {
	server    *Server
	values    admission.Gauges // the last known
	updatedAt time.Duration
	requestID string // correlates the request under way; empty if there is none
	waiters   []func(admission.Gauges)
}

// request calls then with the gauges, or with what is known if they take too long or there is no link to the runtime.
// Requests that are made meanwhile share one round trip.
func (g *gaugeReader) request(callback func(admission.Gauges)) {
	g.waiters = append(g.waiters, callback)
	if !g.server.runtime.synced {
		g.deliver()
		return
	}
	if g.requestID != "" {
		return
	}
	requestID := g.server.runtime.nextCorrelationID(gaugesPrefix)
	g.requestID = requestID
	g.server.runtime.conn.RequestGauges(requestID)
	g.server.ScheduleAt(g.server.Now()+gaugeTimeout, func() {
		if g.requestID == requestID {
			g.deliver()
		}
	})
}

// update replaces the values by those of an event, which come in the order of the configured names.
func (g *gaugeReader) update(values []float64) {
	g.values = admission.Gauges{}
	g.updatedAt = g.server.Now()
	for i, name := range g.server.config.GaugeNames {
		if i < len(values) {
			g.values[name] = values[i]
		}
	}
}

// deliver gives the values to all that wait for them, nil if they are too old: what was true before a link was lost
// must not count for as long as there is none.
func (g *gaugeReader) deliver() {
	waiters := g.waiters
	g.waiters = nil
	g.requestID = ""
	values := g.values
	if g.server.Now()-g.updatedAt > gaugeMaxAge {
		values = nil
	}
	for _, then := range waiters {
		g.server.decisionPending = true
		then(values)
	}
}
