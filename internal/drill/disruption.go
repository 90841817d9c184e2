package drill

import (
	"fmt"
	"sync"
	"time"

	"lanewheel/internal/coordination"
)

// settleAfterReturn is the maximum time for which membership may still change after the return of the last process that
// was out under a permit.
const settleAfterReturn = 10 * time.Second

// group is the set of processes that a disruption limit applies to: all processes, or those of a zone.
type group struct{ zone string }

// allProcesses is the group of all processes.
var allProcesses = group{}

// String returns the group's name as it appears in records.
func (g group) String() string {
	if g == allProcesses {
		return "all"
	}
	return "zone " + g.zone
}

// disruptionLog records which processes are out under a permit. The drill observes this independently of the
// coordinators: a process is out from its end until its next incarnation is up. The methods may be called on any
// goroutine.
type disruptionLog struct {
	mu                 sync.Mutex // guards the fields below
	out                map[*process]bool
	lastReturn         time.Time
	maxOut             map[group]int              // maximum number of processes that were out at once
	limits             map[group]int              // allowed number of processes out at once; no entry: no limit
	processesByRelease map[string]map[string]bool // by release, the names of the processes that ever ran it
}

func newDisruptionLog() *disruptionLog {
	return &disruptionLog{
		out:                map[*process]bool{},
		maxOut:             map[group]int{},
		limits:             map[group]int{},
		processesByRelease: map[string]map[string]bool{},
	}
}

// recordRelease records the release that a process runs.
func (l *disruptionLog) recordRelease(p *process) {
	release := p.currentRelease()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.processesByRelease[release] == nil {
		l.processesByRelease[release] = map[string]bool{}
	}
	l.processesByRelease[release][p.name] = true
}

// recordDeparture records that a process has ended under a permit, and reports a failure if more processes are out than
// a limit allows.
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
			go c.onFailure(fmt.Sprintf("%s left by a permit and %d of %s are out by one, %d may be",
				p.name, count, group, limit))
		}
	}
}

// recordReturn records that a process is up.
func (l *disruptionLog) recordReturn(p *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out[p] {
		l.lastReturn = time.Now()
	}
	delete(l.out, p)
}

// inProgress reports whether a process is out under a permit, or has returned within the last settleAfterReturn. The
// log may be nil.
func (l *disruptionLog) inProgress() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.out) > 0 || time.Since(l.lastReturn) < settleAfterReturn
}

// setLimits sets the limits from the disruption budgets that the drill can check: absolute numbers over all instances
// or over those of a zone.
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
