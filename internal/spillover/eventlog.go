package spillover

import (
	"log/slog"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/forward"
	"lanewheel/internal/logging"
)

// eventKind is the kind of an event in the spillover of a request.
type eventKind uint8

const (
	requestNotSpilled eventKind = iota // the request was not forwarded
	requestSpilled                     // the request was forwarded
	requestFinished                    // a forwarded request has its result
)

// event is an event that is counted and logged. Events that compare equal share a count.
type event struct {
	kind        eventKind
	reason      balancer.SpilloverReason // set for requestNotSpilled
	disposition forward.Disposition      // set for requestFinished
}

// write logs the event. key is the attribute key for count.
func (e event) write(key string, count uint64) {
	switch e.kind {
	case requestNotSpilled:
		slog.Info("request not spilled over", "reason", e.reason.String(), key, count)
	case requestSpilled:
		slog.Info("request spilled over", key, count)
	case requestFinished:
		slog.Info("spilled request finished", "outcome", e.disposition.String(), key, count)
	}
}

// eventLog counts events and logs a limited number of occurrences of each event per second. It is owned by the event
// loop.
type eventLog struct {
	totals  map[event]uint64 // since the process started
	sampler logging.Sampler[event]
}

// newEventLog returns an eventLog without events.
func newEventLog() eventLog { return eventLog{totals: map[event]uint64{}} }

// count counts an event and logs it with its total unless the sampler suppresses it.
func (l *eventLog) count(e event, now time.Time) {
	l.totals[e]++
	if l.sampler.Allow(e, now) {
		e.write("total", l.totals[e])
	}
}

// flush logs, for each event, how many occurrences were not logged. It does so at most once per second.
func (l *eventLog) flush(now time.Time) {
	l.sampler.FlushSuppressed(now, func(e event, suppressed int) { e.write("suppressed", uint64(suppressed)) })
}
