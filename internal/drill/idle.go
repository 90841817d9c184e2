package drill

import "time"

// idleUsage measures what a process costs while nothing is done to it: from the start of the load to the first fault.
type idleUsage struct {
	before    map[string][3]uint64
	startedAt time.Time
	metrics   []metric
	finished  bool
}

func newIdleUsage(membership *membershipCheck) *idleUsage {
	usage := &idleUsage{startedAt: time.Now(), before: map[string][3]uint64{}}
	for id, counters := range membership.usage {
		usage.before[id.String()] = counters
	}
	return usage
}

func (r *idleUsage) finish(membership *membershipCheck, now time.Duration) {
	if r.finished || now < 2*time.Second {
		return
	}
	r.finished = true
	membership.poll(now)
	count, totals := 0.0, [3]float64{}
	for id, counters := range membership.usage {
		if before, known := r.before[id.String()]; known {
			count++
			for index := range counters {
				totals[index] += float64(counters[index] - min(counters[index], before[index]))
			}
		}
	}
	if processSeconds := count * time.Since(r.startedAt).Seconds(); processSeconds > 0 {
		r.metrics = []metric{{"bytes a second of a process at rest, both ways", totals[0] / processSeconds}, {"ms of CPU a second of a process at rest, load included", totals[1] / processSeconds},
			{"datagrams a second that a process sends at rest", totals[2] / processSeconds}}
	}
}
