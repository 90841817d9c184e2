package admission

import (
	"math"
	"time"
)

const (
	// readingHistorySize is the number of readings over which means are computed.
	readingHistorySize = 10
	// readingLifetimeIntervals is the number of sample intervals for which a reading describes the present.
	readingLifetimeIntervals = 3
	// notMeasured is the value of a gauge that is absent.
	notMeasured = -1
)

// gaugeReading holds the measured and derived values of one moment.
type gaugeReading struct {
	at       time.Duration
	runnable float64 // runs that are on a core or wait for one, or notMeasured
	busy     float64 // share of the cores that is busy, 1 if it was not measured
	pressure float64 // see Controller.pressure
	running  int
}

// gaugeHistory holds the most recent readings.
type gaugeHistory struct{ readings []gaugeReading }

func (h *gaugeHistory) add(reading gaugeReading) {
	h.readings = appendRecent(h.readings, reading, readingHistorySize)
}

// last returns the most recent reading and whether there is one.
func (h *gaugeHistory) last() (gaugeReading, bool) {
	if len(h.readings) == 0 {
		return gaugeReading{}, false
	}
	return h.readings[len(h.readings)-1], true
}

// sampledAt reports whether the last reading was taken at the given time.
func (h *gaugeHistory) sampledAt(now time.Duration) bool {
	reading, exists := h.last()
	return exists && reading.at == now
}

// meanPressure returns the mean pressure of the readings after the given time.
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

// meanBusy returns the mean share of the cores that was busy.
func (h *gaugeHistory) meanBusy() float64 {
	var busy float64
	for _, reading := range h.readings {
		busy += reading.busy / float64(len(h.readings))
	}
	return busy
}

// blockedRuns returns the mean number of runs that wait for something other than a core, rounded up. If the minimum
// of the limit did not include them, cores would be idle wherever requests wait for the disk.
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

// pressureSustained reports whether the history is full and each reading has at least the given pressure.
func (h *gaugeHistory) pressureSustained(minPressure float64) bool {
	for _, reading := range h.readings {
		if reading.pressure < minPressure {
			return false
		}
	}
	return len(h.readings) == readingHistorySize
}

// recordGauges adds a reading of the given gauges, taken now, and lowers the adaptive limit if too many runs are
// runnable.
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

// estimatedRunnable estimates the number of runs that are on a core or wait for one now, from the last reading and
// the runs that have started or ended since. Without a measurement that is recent enough, all runs count.
func (c *Controller) estimatedRunnable(now time.Duration) float64 {
	running := len(c.requests.running)
	reading, exists := c.gauges.last()
	if exists && reading.runnable >= 0 && now-reading.at < readingLifetimeIntervals*c.sampleInterval() {
		return max(0, reading.runnable+float64(running-reading.running))
	}
	return float64(running)
}

// coreFree reports whether a run that starts now would find an idle core.
func (c *Controller) coreFree(now time.Duration) bool {
	return c.estimatedRunnable(now) < float64(c.cores)
}
