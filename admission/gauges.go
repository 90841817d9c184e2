package admission

import (
	"math"
	"time"
)

const (
	// readingHistorySize is the number of readings that means stand on.
	readingHistorySize = 10
	// readingLifetimeIntervals is how many sample intervals a reading tells something of the present.
	readingLifetimeIntervals = 3
	// notMeasured stands for a gauge that is absent.
	notMeasured = -1
)

// gaugeReading is what was measured and worked out at one moment.
type gaugeReading struct {
	at       time.Duration
	runnable float64 // runs that want a core; notMeasured where there is no such gauge
	busy     float64 // share of the cores, 1 where there is no such gauge
	pressure float64 // see Controller.pressure
	running  int
}

// gaugeHistory holds the last readings.
type gaugeHistory struct{ readings []gaugeReading }

func (h *gaugeHistory) add(reading gaugeReading) {
	h.readings = appendRecent(h.readings, reading, readingHistorySize)
}

// last is the last reading, if there is one.
func (h *gaugeHistory) last() (gaugeReading, bool) {
	if len(h.readings) == 0 {
		return gaugeReading{}, false
	}
	return h.readings[len(h.readings)-1], true
}

// sampledAt tells whether the last reading is of this moment.
func (h *gaugeHistory) sampledAt(now time.Duration) bool {
	reading, exists := h.last()
	return exists && reading.at == now
}

// meanPressure is the mean since a moment.
func (h *gaugeHistory) meanPressure(since time.Duration) float64 {
	var sum float64
	n := 0
	for _, reading := range h.readings {
		if reading.at > since {
			sum += reading.pressure
			n++
		}
	}
	return sum / float64(max(1, n))
}

// meanBusy is the mean share of the cores that was busy.
func (h *gaugeHistory) meanBusy() float64 {
	var busy float64
	for _, reading := range h.readings {
		busy += reading.busy / float64(len(h.readings))
	}
	return busy
}

// blockedRuns is how many runs wait for something else than a core. Without them the floor of the limit would leave
// cores idle wherever requests wait on disk.
func (h *gaugeHistory) blockedRuns() int {
	var sum float64
	n := 0
	for _, reading := range h.readings {
		if reading.runnable >= 0 {
			sum += max(0, float64(reading.running)-reading.runnable)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return int(math.Ceil(sum / float64(n)))
}

// pressureSustained tells whether each of a full set of readings had at least this pressure.
func (h *gaugeHistory) pressureSustained(least float64) bool {
	for _, reading := range h.readings {
		if reading.pressure < least {
			return false
		}
	}
	return len(h.readings) == readingHistorySize
}

// recordGauges takes the gauges of this moment.
func (c *Controller) recordGauges(gauges Gauges) {
	now := c.executor.Now()
	reading := gaugeReading{
		at:       now,
		runnable: notMeasured,
		busy:     1,
		running:  len(c.requests.running),
		pressure: c.pressure(now),
	}
	if runnable, measured := gauges[GaugeRunnable]; measured {
		reading.runnable = runnable
	}
	if busy, measured := gauges[GaugeBusyCores]; measured {
		reading.busy = busy
	}
	c.gauges.add(reading)
	c.limit.shrink(reading, c.cores)
}

// estimatedRunnable estimates how many runs want a core now: the last gauge, and what has started or ended since.
func (c *Controller) estimatedRunnable(now time.Duration) float64 {
	running := len(c.requests.running)
	reading, exists := c.gauges.last()
	if exists && reading.runnable >= 0 && now-reading.at < readingLifetimeIntervals*c.sampleInterval() {
		return max(0, reading.runnable+float64(running-reading.running))
	}
	return float64(running)
}

// coreFree tells whether a start now would find an idle core.
func (c *Controller) coreFree(now time.Duration) bool {
	return c.estimatedRunnable(now) < float64(c.cores)
}
