package spillover

import (
	"log/slog"
	"time"

	"lanewheel/internal/balancer"
	"lanewheel/internal/forward"
	"lanewheel/internal/logging"
)

// eventKind is what is logged of a request.
type eventKind uint8

const (
	requestNotSpilled eventKind = iota // it was not forwarded, for a reason
	requestSpilled                     // it was forwarded
	requestFinished                    // it came back
)

// event is what is counted and logged.
type event struct {
	kind        eventKind
	reason      balancer.SpilloverReason // of requestKept
	disposition forward.Disposition      // of requestFinished
}

// write logs an event with a count.
func (e event) write(key string, count uint64) {
	switch e.kind {
	case requestNotSpilled:
		slog.Info("request kept", "reason", e.reason.String(), key, count)
	case requestSpilled:
		slog.Info("request spilled over", key, count)
	case requestFinished:
		slog.Info("spilled request finished", "outcome", e.disposition.String(), key, count)
	}
}

// eventLog counts events and logs a few of each a second. It is owned by the event loop.
type eventLog struct {
	totals  map[event]uint64 // since the start
	sampler logging.Sampler[event]
}

func newEventLog() eventLog { return eventLog{totals: map[event]uint64{}} }

func (l *eventLog) count(e event, now time.Time) {
	l.totals[e]++
	if l.sampler.Allow(e, now) {
		e.write("total", l.totals[e])
	}
}

// flush logs how many events were not logged in the last second.
func (l *eventLog) flush(now time.Time) {
	l.sampler.FlushSuppressed(now, func(e event, suppressed int) { e.write("suppressed", uint64(suppressed)) })
}
