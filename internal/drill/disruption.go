package drill

import (
	"fmt"
	"sync"
	"time"

	"lanewheel/internal/coordination"
)

// disruptionLog is who was out by a permit, by the rehearsal's own clock and eyes: from its end to when its next life has come up.
type disruptionLog struct {
	mu         sync.Mutex
	out        map[*process]bool
	lastReturn time.Time      // when one was last back
	maxOut     map[string]int // by group: the most at a time
	limits     map[string]int // and the most that may be
	everOn     map[string]map[string]bool
}

// noteRelease notes on which release a process is.
func (o *disruptionLog) noteRelease(p *process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.everOn[p.release] == nil {
		o.everOn[p.release] = map[string]bool{}
	}
	o.everOn[p.release][p.name] = true
}

// groups are those that a process counts in.
func (o *disruptionLog) groups(p *process, zone string) []string {
	return []string{"all", "zone " + zone}
}

// noteOut notes that a process ended by a permit; it gives what is over its budget then.
func (o *disruptionLog) noteOut(w *cluster, p *process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out[p] = true
	for _, group := range o.groups(p, zoneOf(w.script, p.index)) {
		count := 0
		for other := range o.out {
			if group == "all" || group == "zone "+zoneOf(w.script, other.index) {
				count++
			}
		}
		o.maxOut[group] = max(o.maxOut[group], count)
		if limit, limited := o.limits[group]; limited && count > limit {
			go w.fail(fmt.Sprintf("%s left by a permit and %d of %s are out by one, %d may be", p.name, count, group, limit))
		}
	}
}

func (o *disruptionLog) noteBack(p *process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.out[p] {
		o.lastReturn = time.Now()
	}
	delete(o.out, p)
}

// inProgress tells whether somebody is out by a permit, or was a moment ago.
func (o *disruptionLog) inProgress() bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.out) > 0 || time.Since(o.lastReturn) < 10*time.Second
}

// setLimits notes what may be out, as far as the rehearsal can see it: counts over all and by zone.
func (o *disruptionLog) setLimits(budgets []coordination.DisruptionBudget) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits = map[string]int{}
	for _, budget := range budgets {
		switch {
		case budget.MaxUnavailable < 0 || budget.Selector.Release != "" || budget.Selector.Upstream != "" || budget.Selector.Role != "" && budget.Selector.Role != "instance":
		case budget.Selector.Zone != "":
			o.limits["zone "+budget.Selector.Zone] = budget.MaxUnavailable
		default:
			o.limits["all"] = budget.MaxUnavailable
		}
	}
}
