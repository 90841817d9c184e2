package server

import (
	"time"

	"lanewheel/internal/transport"
)

// handleGauges takes the gauges. Danger: starting anew what has ended in the time without a link. The fence comes
// behind all replayed notices, and only then what is still open is sent again.
func (in *Server) handleGauges(event transport.Event) {
	link := &in.runtime
	in.gauges, link.gaugesAt = map[string]float64{}, in.Now()
	for i, name := range in.config.GaugeNames {
		if i < len(event.Gauges) {
			in.gauges[name] = event.Gauges[i]
		}
	}
	if event.CorrelationID == link.fenceID {
		link.fenceID, link.synced = "", true
		in.resend()
	}
	if event.CorrelationID == link.pendingGauges {
		in.deliverGauges()
	}
}

// requestGauges asks for the gauges, once for all who want them now, and goes on without them if they take long.
func (in *Server) requestGauges(then func(map[string]float64)) {
	link := &in.runtime
	link.gaugeWaiters = append(link.gaugeWaiters, then)
	if !link.synced {
		in.deliverGauges()
		return
	}
	if link.pendingGauges != "" {
		return
	}
	link.pendingGauges = in.nextCorrelationID("look")
	link.conn.RequestGauges(link.pendingGauges)
	correlationID := link.pendingGauges
	// Some round trips on one machine; the last known are a look old, which is worse than none of them.
	in.ScheduleAt(in.Now()+5*time.Millisecond, func() {
		if link.pendingGauges == correlationID {
			in.deliverGauges()
		}
	})
}

func (in *Server) deliverGauges() {
	link := &in.runtime
	link.pendingGauges = ""
	waiters := link.gaugeWaiters
	link.gaugeWaiters = nil
	gauges := in.gauges
	// Danger: what was true before a link was lost is believed for as long as there is none. Past some looks of the
	// module it hears that nothing is known.
	if in.Now()-link.gaugesAt > 300*time.Millisecond {
		gauges = nil
	}
	for _, then := range waiters {
		in.decisionPending = true
		then(gauges)
	}
}
