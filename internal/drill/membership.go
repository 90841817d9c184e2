package drill

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// maxConcurrentPolls is the maximum number of processes that are asked for their views concurrently.
const maxConcurrentPolls = 16

// converging marks a change that not all processes know yet.
const converging = time.Duration(-1)

// membershipCheck checks the membership invariant: after a fault has ended, the view of every running process consists
// of exactly the running incarnations. If the script requires it, it also checks that the fault caused no evictions.
type membershipCheck struct {
	cluster *cluster

	mu              sync.Mutex // guards the fields below
	converged       bool
	divergent       int                      // number of processes with a wrong view
	divergentDetail string                   // describes the view of the first of them
	changedAt       time.Duration            // time of the last event, since the start of the load
	convergence     map[string]time.Duration // by change: the time until all processes knew it, or converging
	counts          evictionCounts
	countsBefore    evictionCounts // at the start of the last fault; zero before the first poll
	usage           map[membership.ID]usage
	metrics         []metric
}

// evictionCounts holds how many times each incarnation has evicted and suspected other members.
type evictionCounts struct {
	evictions  map[membership.ID]uint64
	suspicions map[membership.ID]uint64
}

// since returns the increase of the counts over those in before, summed over the incarnations in c.
func (c evictionCounts) since(before evictionCounts) (evictions, suspicions uint64) {
	for id, count := range c.evictions {
		evictions += count - min(count, before.evictions[id])
		suspicions += c.suspicions[id] - min(c.suspicions[id], before.suspicions[id])
	}
	return evictions, suspicions
}

func newMembershipCheck(c *cluster) *membershipCheck {
	return &membershipCheck{cluster: c, convergence: map[string]time.Duration{}}
}

// pollAnswer is one process's answer to a poll, or the error if the process could not be polled.
type pollAnswer struct {
	process  *process
	id       membership.ID
	snapshot gossip.Snapshot
	err      error
}

// poll asks all processes that are up for their views, and compares the views with the actual membership.
func (m *membershipCheck) poll(now time.Duration) {
	answers := m.queryAll()
	var expected uint64
	for _, answer := range answers {
		expected ^= membership.Fingerprint(answer.process.currentID())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compare(answers, fmt.Sprintf("%016x", expected))
	m.recordCounters(answers)
	if m.converged {
		m.recordConvergence(now)
	}
}

// queryAll asks all processes that are up for their views, at most maxConcurrentPolls at a time.
func (m *membershipCheck) queryAll() []pollAnswer {
	var answers []pollAnswer
	for _, p := range m.cluster.processes {
		if p.isUp() {
			answers = append(answers, pollAnswer{process: p})
		}
	}
	var asking sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for i := range answers {
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			answer := &answers[i]
			answer.snapshot, answer.err = answer.process.status()
			answer.id = answer.process.currentID()
		})
	}
	asking.Wait()
	return answers
}

// compare compares the digests of the views with the expected digest. It skips processes that have gone down in the
// meantime. mu must be held.
func (m *membershipCheck) compare(answers []pollAnswer, expectedDigest string) {
	m.divergent = 0
	m.divergentDetail = ""
	for _, answer := range answers {
		if !answer.process.isUp() || answer.err == nil && answer.snapshot.ViewDigest == expectedDigest {
			continue
		}
		m.divergent++
		if m.divergentDetail == "" && answer.err == nil {
			m.divergentDetail = describeView(answer.process, answer.snapshot)
		}
	}
	m.converged = m.divergent == 0
}

func describeView(p *process, snapshot gossip.Snapshot) string {
	const shown = 4
	var members []string
	for _, member := range snapshot.Members[:min(shown, len(snapshot.Members))] {
		members = append(members, member.Name+" "+member.State+" "+member.Reason)
	}
	return fmt.Sprintf("%s: %s, reach %.2f, %v; %s",
		p.name, snapshot.LocalHealth, snapshot.HeardFraction, snapshot.States, strings.Join(members, ", "))
}

// recordCounters stores the counters and the resource usage that the processes report. mu must be held.
func (m *membershipCheck) recordCounters(answers []pollAnswer) {
	m.counts = evictionCounts{map[membership.ID]uint64{}, map[membership.ID]uint64{}}
	m.usage = map[membership.ID]usage{}
	for _, answer := range answers {
		if answer.err != nil {
			continue
		}
		counters := answer.snapshot.Counters
		m.counts.evictions[answer.id] = counters["suspect-gone"]
		m.counts.suspicions[answer.id] = counters["up-suspect"]
		m.usage[answer.id] = usage{
			bytes:     counters["bytes-in"] + counters["bytes-out"],
			cpuMillis: uint64(answer.snapshot.CPUMillis),
			packets:   counters["packets-out"],
		}
	}
	if m.countsBefore.evictions == nil {
		m.countsBefore = m.counts
	}
}

// recordConvergence records the convergence time of every change that was still converging. It is called when all views
// are correct. mu must be held.
func (m *membershipCheck) recordConvergence(now time.Duration) {
	for name, elapsed := range m.convergence {
		if elapsed == converging {
			m.convergence[name] = now - m.changedAt
			m.metrics = append(m.metrics, metric{"s until all know, " + name, (now - m.changedAt).Seconds()})
		}
	}
}

// beforeEvent is called before an event is applied.
func (m *membershipCheck) beforeEvent(event *Event, now time.Duration) {
	m.poll(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	name := event.Fault.Name
	if event.Undo {
		name += ", over"
	} else {
		m.countsBefore = m.counts
	}
	for earlier, elapsed := range m.convergence {
		if elapsed == converging { // the new event precedes its convergence
			delete(m.convergence, earlier)
		}
	}
	m.changedAt = now
	if event.Targets != nil || event.Undo { // the start of a link fault changes no membership
		m.convergence[name] = converging
	}
}

// afterEvent is called after an event has been applied.
func (m *membershipCheck) afterEvent(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changedAt = now
}

// check checks the invariant after the settle timeout of an event, or at the end of the drill if event is nil.
func (m *membershipCheck) check(event *Event, now time.Duration) (violations []violation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := "the end"
	if event != nil {
		name = event.Fault.Name
	}
	if !m.converged && !m.isMembershipChanging() {
		detail := fmt.Sprintf("%d processes hold others to be there than are, %v after %s; %s",
			m.divergent, now-m.changedAt, name, m.divergentDetail)
		violations = append(violations, violation{now, ruleViewsEqual, detail})
	}
	if event == nil {
		return violations
	}
	evictions, suspicions := m.counts.since(m.countsBefore)
	m.metrics = append(m.metrics,
		metric{"suspicions, " + name, float64(suspicions)},
		metric{"given up, " + name, float64(evictions)})
	if event.Fault.ForbidEviction && evictions > 0 {
		detail := fmt.Sprintf("%d times somebody that was there, over %s", evictions, name)
		violations = append(violations, violation{now, ruleNoneEvicted, detail})
	}
	return violations
}

// isMembershipChanging reports whether members join and leave continuously because of a rollout or of a release that
// crashes. Views are not checked during that time.
func (m *membershipCheck) isMembershipChanging() bool {
	return m.cluster.disruptions.inProgress() || m.cluster.script.BadRelease.CrashAfter > 0
}
