package drill

import (
	"time"

	"lanewheel/internal/membership"
)

// minIdleDuration is the minimum time without events over which idle usage is measured.
const minIdleDuration = 2 * time.Second

// usage is the resource usage of a process since its start.
type usage struct {
	bytes     uint64 // of gossip, sent and received
	cpuMillis uint64
	packets   uint64 // of gossip, sent
}

// idleUsage measures the resource usage of the processes while no event affects them: from the start of the load to the
// first fault.
type idleUsage struct {
	startedAt time.Time
	before    map[membership.ID]usage
	metrics   []metric
	finished  bool
}

func newIdleUsage(check *membershipCheck) *idleUsage {
	return &idleUsage{startedAt: time.Now(), before: check.usage}
}

// finish ends the measurement unless it has ended already or lasted less than minIdleDuration; now is the time since
// the start of the load.
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

// increase returns the increase of a counter, 0 if the counter was reset.
func increase(before, after uint64) float64 { return float64(after - min(after, before)) }
