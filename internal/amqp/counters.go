package amqp

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/internal/amqp/delivery"
)

// event is a kind of event counted in addition to the outcomes of messages.
type event int

const (
	eventReturned        event = iota // a message was returned to the broker
	eventReturnedAtDrain              // a delivery that arrived while draining was returned
	eventJoined                       // a delivery joined a message in flight
	eventRepeated                     // a delivery of a message whose reply was already confirmed
	eventReplyResent                  // a delivery of a message whose reply was not yet confirmed
	eventResubmitted                  // a rejected message was submitted to this instance's server again
	eventReplyKept                    // a reply was not published because the message's deliveries were lost
)

// String returns the event as the status socket and the log report it.
func (e event) String() string {
	switch e {
	case eventReturned:
		return "put-back"
	case eventReturnedAtDrain:
		return "returned"
	case eventJoined:
		return "joined"
	case eventRepeated:
		return "repeated"
	case eventReplyResent:
		return "answered-again"
	case eventResubmitted:
		return "tried-again"
	case eventReplyKept:
		return "answer-kept"
	}
	return "unknown"
}

// counters are the counters since the start of the process. They are owned by the consumer's event loop.
type counters struct {
	outcomes    map[delivery.Outcome]uint64
	events      map[event]uint64
	loggedAt    time.Duration // when changes were last checked and logged, by the loop's clock
	loggedTotal uint64        // sum of all counters when they were last logged
}

func newCounters() counters {
	return counters{outcomes: map[delivery.Outcome]uint64{}, events: map[event]uint64{}}
}

// byName returns the counters that are not 0, by the name of their outcome or event.
func (c *counters) byName() map[string]uint64 {
	all := map[string]uint64{}
	for outcome, count := range c.outcomes {
		all[outcome.String()] = count
	}
	for event, count := range c.events {
		all[event.String()] = count
	}
	return all
}

// logCounters logs the counters if they have changed since they were last logged.
func (c *Consumer) logCounters() {
	all := c.counters.byName()
	attributes := []any{"in_flight", len(c.inFlight), "remembered", c.deduplicator.Len()}
	total := uint64(0)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		total += all[name]
		attributes = append(attributes, name, all[name])
	}
	if total == c.counters.loggedTotal {
		return
	}
	c.counters.loggedTotal = total
	slog.Info("queue counters", attributes...)
}

// logLineKind is a kind of log line that may occur hundreds of times: the outcome of a message, or the code of a
// failed connection. It is the key by which such lines are sampled.
type logLineKind struct {
	outcome        delivery.Outcome // NoOutcome for a failed connection
	connectionCode connectionCode
}

// logSuppressed logs how many lines of each kind the sampler has suppressed.
func (c *Consumer) logSuppressed() {
	c.logSampler.FlushSuppressed(time.Now(), func(line logLineKind, suppressed int) {
		if line.outcome == delivery.NoOutcome {
			slog.Info("log lines about broker connection failures suppressed",
				"code", string(line.connectionCode),
				"count", suppressed)
			return
		}
		slog.Info("log lines about queue messages suppressed", "outcome", line.outcome.String(), "count", suppressed)
	})
}
