package amqp

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lanewheel/internal/amqp/delivery"
)

// event is what is counted beside the outcomes of messages.
type event int

const (
	eventReturned        event = iota // a message went back to the broker
	eventReturnedAtDrain              // a delivery that came while draining went back
	eventJoined                       // a delivery of a message in flight
	eventRepeated                     // a delivery of a message whose reply was confirmed
	eventReplyResent                  // a delivery of a message whose reply was not
)

// String returns the event as the status socket and the log name it.
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
	}
	return "unknown"
}

// counters counts since the start. It belongs to the consumer's event loop.
type counters struct {
	outcomes    map[delivery.Outcome]uint64
	events      map[event]uint64
	loggedAt    time.Duration // by the loop's clock
	loggedTotal uint64        // sum of all counters when they were logged
}

func newCounters() counters {
	return counters{outcomes: map[delivery.Outcome]uint64{}, events: map[event]uint64{}}
}

// byName returns the counters that are not 0.
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

// logCounters logs the counters if they have changed since they were logged.
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

// sampledLine is a kind of log line that may come by the hundred: either a message's outcome or a failed connection.
type sampledLine struct {
	outcome        delivery.Outcome // NoOutcome for a connection
	connectionCode connectionCode
}

// logSuppressed logs how many lines the sampler has kept back.
func (c *Consumer) logSuppressed() {
	c.logSampler.FlushSuppressed(time.Now(), func(line sampledLine, suppressed int) {
		if line.outcome == delivery.NoOutcome {
			slog.Info("broker connection failures suppressed", "code", string(line.connectionCode), "count", suppressed)
			return
		}
		slog.Info("queue messages suppressed", "outcome", line.outcome.String(), "count", suppressed)
	})
}
