package drill

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/membership"
)

// membershipCheck is the invariant of membership: once a fault is behind, all that are there hold the same lives to be there, and these are
// those that are; and where the script says so, nobody was given up over it.
type membershipCheck struct {
	cluster          *cluster
	mu               sync.Mutex
	converged        bool
	divergent        int           // processes whose view is not as it should be
	changedAt        time.Duration // when something was last done
	convergence      map[string]time.Duration
	evictionsBefore  map[membership.ID]uint64 // how often each life had given somebody up, when the fault began
	suspicionsBefore map[membership.ID]uint64
	metrics          []metric
	divergentDetail  string // what a differing process believed
	usage            map[membership.ID][3]uint64

	evictions, suspicions map[membership.ID]uint64
}

// poll asks all that are there for their views, a few at a time, and compares them with what is so.
func (v *membershipCheck) poll(now time.Duration) {
	type answer struct {
		p      *process
		digest string
		detail string
		ok     bool
	}
	var up []*process
	for _, p := range v.cluster.processes {
		if p.isUp() {
			up = append(up, p)
		}
	}
	answers := make([]answer, len(up))
	var all sync.WaitGroup
	slots := make(chan struct{}, 16)
	evictions, suspicions, usage := map[membership.ID]uint64{}, map[membership.ID]uint64{}, map[membership.ID][3]uint64{}
	var mu sync.Mutex
	for i, p := range up {
		all.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; all.Done() }()
			snapshot, err := p.status()
			probe := answer{p: p, ok: err == nil, digest: snapshot.ViewDigest}
			if err == nil {
				var memberStates []string
				for _, m := range snapshot.Members {
					if len(memberStates) < 4 {
						memberStates = append(memberStates, m.Name+" "+m.State+" "+m.Reason)
					}
				}
				probe.detail = fmt.Sprintf("%s: %s, reach %.2f, %v; %s", p.name, snapshot.LocalHealth, snapshot.HeardFraction, snapshot.States, strings.Join(memberStates, ", "))
				mu.Lock()
				p.mu.Lock()
				evictions[p.id], suspicions[p.id] = snapshot.Counters["suspect-gone"], snapshot.Counters["up-suspect"]
				usage[p.id] = [3]uint64{snapshot.Counters["bytes-in"] + snapshot.Counters["bytes-out"], uint64(snapshot.CPUMillis), snapshot.Counters["packets-out"]}
				p.mu.Unlock()
				mu.Unlock()
			}
			answers[i] = probe
		}()
	}
	all.Wait()
	var expected uint64
	for _, p := range up {
		p.mu.Lock()
		expected ^= membership.Fingerprint(p.id)
		p.mu.Unlock()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.divergent, v.divergentDetail = 0, ""
	for _, probe := range answers {
		if !probe.p.isUp() {
			continue
		}
		if !probe.ok || probe.digest != fmt.Sprintf("%016x", expected) {
			if v.divergent++; v.divergentDetail == "" {
				v.divergentDetail = probe.detail
			}
		}
	}
	v.converged = v.divergent == 0
	v.usage = usage
	if v.evictionsBefore == nil {
		v.evictionsBefore, v.suspicionsBefore = evictions, suspicions
	}
	if v.converged {
		for name, elapsed := range v.convergence {
			if elapsed < 0 {
				v.convergence[name] = now - v.changedAt
				v.metrics = append(v.metrics, metric{"s until all know, " + name, (now - v.changedAt).Seconds()})
			}
		}
	}
	v.evictions, v.suspicions = evictions, suspicions
}

// beforeEvent is Invariant.
func (v *membershipCheck) beforeEvent(event *Event, now time.Duration) {
	v.poll(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	name := event.Fault.Name
	if event.Undo {
		name += ", over"
	} else {
		v.evictionsBefore, v.suspicionsBefore = v.evictions, v.suspicions
	}
	for earlier, took := range v.convergence {
		if took < 0 { // overtaken
			delete(v.convergence, earlier)
		}
	}
	v.changedAt = now
	if event.Targets != nil || event.Undo { // behind a cut all are where they were
		v.convergence[name] = -1
	}
}

// check is Invariant.
func (v *membershipCheck) check(now time.Duration) []violation {
	v.poll(now)
	return nil
}

// afterFault is Invariant.
func (v *membershipCheck) afterFault(event *Event, now time.Duration) (violations []violation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	name := "the end"
	if event != nil {
		name = event.Fault.Name
	}
	// Where a release goes on members come and go all the time, and views with them: they are judged once that rests.
	if !v.converged && !v.cluster.disruptions.inProgress() && v.cluster.script.BadRelease.CrashAfter == 0 {
		violations = append(violations, violation{now, "views equal", fmt.Sprintf("%d processes hold others to be there than are, %v after %s; %s", v.divergent, now-v.changedAt, name, v.divergentDetail)})
	}
	evictions, suspicions := uint64(0), uint64(0)
	for id, count := range v.evictions {
		evictions += count - min(count, v.evictionsBefore[id])
		suspicions += v.suspicions[id] - min(v.suspicions[id], v.suspicionsBefore[id])
	}
	if event != nil {
		v.metrics = append(v.metrics, metric{"suspicions, " + name, float64(suspicions)}, metric{"given up, " + name, float64(evictions)})
		if event.Fault.ForbidEviction && evictions > 0 {
			violations = append(violations, violation{now, "none given up", fmt.Sprintf("%d times somebody that was there, over %s", evictions, name)})
		}
	}
	return violations
}
