package proxy

import (
	"log/slog"
	"maps"
	"slices"

	"lanewheel/internal/clients"
	"lanewheel/internal/frontend"
)

// Drain starts draining the proxy. It is called when the process receives the notice to drain, TerminationGrace before
// it is killed. Requests that arrive within DrainGrace are forwarded, but none after the time of the last answers.
// Later requests are rejected. The clients are asked to send no further requests, and every request that was read is
// answered. Further calls do nothing.
func (p *Proxy) Drain() {
	if p.draining {
		return
	}
	p.draining = true
	grace := p.platform.TerminationGrace
	slog.Info("draining", "grace", grace, "requests", len(p.inFlight))
	killAt := p.Now() + grace
	schedule := clients.DrainScheduleFor(grace)
	lastAnswersAt := killAt - schedule.LastAnswers
	p.acceptUntil = min(p.Now()+p.config.DrainGrace, lastAnswersAt)
	p.reportToRegistry()
	for _, attached := range p.frontends {
		attached.Drain(max(0, grace-schedule.FrontendsDrained))
	}
	p.clients.GoAway()
	p.ScheduleAt(max(p.Now(), lastAnswersAt), p.expireAll)
	p.ScheduleAt(max(p.Now(), killAt-schedule.GoAway), func() {
		p.clients.Drain(schedule, killAt, p.drained, p.stop)
	})
}

// expireAll answers all requests in flight as timed out.
func (p *Proxy) expireAll() {
	for _, request := range slices.Collect(maps.Values(p.inFlight)) { // answering a request removes it
		request.expire()
	}
}

// drained reports whether all requests have been answered and all frontends have drained.
func (p *Proxy) drained() bool {
	return len(p.inFlight) == 0 &&
		!slices.ContainsFunc(p.frontends, func(attached frontend.Frontend) bool { return !attached.Drained() })
}

// stop logs the counters and ends the event loop. connections is the number of connections that are still open.
func (p *Proxy) stop(connections int) {
	slog.Info("stopped",
		"connections", connections,
		"requests", len(p.inFlight),
		"received", p.counters.received,
		"succeeded", p.counters.succeeded,
		"rejected", p.counters.rejected,
		"failed", p.counters.failed,
		"no_response", p.counters.noResponse,
		"retries", p.forwarder.Retries,
		"timed_out", p.counters.timedOut,
		"no_endpoint", p.counters.noEndpoint)
	p.Quit()
}
