package drill

import (
	"fmt"
	"sync"
	"time"

	"lanewheel/internal/coordination"
)

// settleAfterReturn is how long after the last return from a permit membership may still change.
const settleAfterReturn = 10 * time.Second

// group is whom a limit of disruption holds for: all processes, or those of a zone.
type group struct{ zone string }

// allProcesses is the group of all.
var allProcesses = group{}

// String returns the group as it is recorded.
func (g group) String() string {
	if g == allProcesses {
		return "all"
	}
	return "zone " + g.zone
}

// disruptionLog is who is out by a permit, by the drill's own clock and eyes: from the end of a process to when its
// next incarnation has come up.
type disruptionLog struct {
	mu                 sync.Mutex // guards what follows
	out                map[*process]bool
	lastReturn         time.Time
	maxOut             map[group]int              // the most at a time
	limits             map[group]int              // the most that may be out; a group that is not named has none
	processesByRelease map[string]map[string]bool // names of processes by the releases that they were ever on
}

func newDisruptionLog() *disruptionLog {
	return &disruptionLog{
		out:                map[*process]bool{},
		maxOut:             map[group]int{},
		limits:             map[group]int{},
		processesByRelease: map[string]map[string]bool{},
	}
}

// recordRelease notes which release a process is on.
func (l *disruptionLog) recordRelease(p *process) {
	release := p.currentRelease()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.processesByRelease[release] == nil {
		l.processesByRelease[release] = map[string]bool{}
	}
	l.processesByRelease[release][p.name] = true
}

// recordDeparture notes that a process has ended by a permit, and fails the drill if more are out than may be.
func (l *disruptionLog) recordDeparture(c *cluster, p *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out[p] = true
	for _, group := range []group{allProcesses, {zoneOf(c.script, p.index)}} {
		count := 0
		for other := range l.out {
			if group == allProcesses || group.zone == zoneOf(c.script, other.index) {
				count++
			}
		}
		l.maxOut[group] = max(l.maxOut[group], count)
		if limit, limited := l.limits[group]; limited && count > limit {
			go c.onFailure(fmt.Sprintf("%s left by a permit and %d of %s are out by one, %d may be", p.name, count, group, limit))
		}
	}
}

// recordReturn notes that a process has come up.
func (l *disruptionLog) recordReturn(p *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out[p] {
		l.lastReturn = time.Now()
	}
	delete(l.out, p)
}

// inProgress reports whether a process is out by a permit, or was a moment ago. The log may be nil.
func (l *disruptionLog) inProgress() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.out) > 0 || time.Since(l.lastReturn) < settleAfterReturn
}

// setLimits takes what may be out, as far as the drill can see it: counts over all instances and by zone.
func (l *disruptionLog) setLimits(budgets []coordination.DisruptionBudget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = map[group]int{}
	for _, budget := range budgets {
		selector := budget.Selector
		if budget.MaxUnavailable < 0 || selector.Release != "" || selector.Upstream != "" {
			continue
		}
		if selector.Role == "" || selector.Role == instanceRole {
			l.limits[group{selector.Zone}] = budget.MaxUnavailable
		}
	}
}
