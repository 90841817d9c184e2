package drill

import (
	"time"

	"lanewheel/internal/membership"
)

// minIdleDuration is how long nothing must have been done for the usage at rest to be measured.
const minIdleDuration = 2 * time.Second

// usage is what a process has used since its start.
type usage struct {
	bytes     uint64 // of gossip, both ways
	cpuMillis uint64
	packets   uint64 // of gossip, sent
}

// idleUsage measures what a process uses while nothing is done to it: from the start of the load to the first fault.
type idleUsage struct {
	startedAt time.Time
	before    map[membership.ID]usage
	metrics   []metric
	finished  bool
}

func newIdleUsage(check *membershipCheck) *idleUsage {
	return &idleUsage{startedAt: time.Now(), before: check.usage}
}

// finish ends the measurement at a time since the start of the load, if that was long enough and it has not ended.
func (u *idleUsage) finish(check *membershipCheck, now time.Duration) {
	if u.finished || now < minIdleDuration {
		return
	}
	u.finished = true
	check.poll(now)
	processes := 0
	var bytes, cpuMillis, packets float64
	for id, after := range check.usage {
		before, exists := u.before[id]
		if !exists {
			continue
		}
		processes++
		bytes += increase(before.bytes, after.bytes)
		cpuMillis += increase(before.cpuMillis, after.cpuMillis)
		packets += increase(before.packets, after.packets)
	}
	processSeconds := float64(processes) * time.Since(u.startedAt).Seconds()
	if processSeconds <= 0 {
		return
	}
	u.metrics = []metric{
		{"bytes a second of a process at rest, both ways", bytes / processSeconds},
		{"ms of CPU a second of a process at rest, load included", cpuMillis / processSeconds},
		{"datagrams a second that a process sends at rest", packets / processSeconds},
	}
}

// increase returns by how much a counter has grown, 0 where it has started anew.
func increase(before, after uint64) float64 { return float64(after - min(after, before)) }
