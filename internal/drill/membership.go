package drill

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// maxConcurrentPolls is how many processes are asked for their views at a time.
const maxConcurrentPolls = 16

// converging marks a change that not all processes know of yet.
const converging = time.Duration(-1)

// membershipCheck checks the invariant of membership: once a fault is over, all processes that are there hold the same
// incarnations to be there, and these are those that are; and where the script says so, nobody was evicted over it.
type membershipCheck struct {
	cluster *cluster

	mu              sync.Mutex // guards what follows
	converged       bool
	divergent       int                      // processes whose view is not as it should be
	divergentDetail string                   // what the first of them believed
	changedAt       time.Duration            // when something was last done
	convergence     map[string]time.Duration // by change: how long until all knew it, or converging
	counts          evictionCounts
	countsBefore    evictionCounts // when the fault began; zero before the first poll
	usage           map[membership.ID]usage
	metrics         []metric
}

// evictionCounts is how often each incarnation has held others to be gone, and suspected them.
type evictionCounts struct {
	evictions  map[membership.ID]uint64
	suspicions map[membership.ID]uint64
}

// since returns the growth of the counts since others, over all incarnations that are there.
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

// pollAnswer is what one process said of its view.
type pollAnswer struct {
	process  *process
	id       membership.ID
	snapshot gossip.Snapshot
	err      error
}

// poll asks all processes that are up for their views, and compares them with what is so.
func (m *membershipCheck) poll(now time.Duration) {
	answers := m.queryAll()
	var expected uint64
	for _, answer := range answers {
		expected ^= membership.Fingerprint(answer.process.currentID())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compare(answers, fmt.Sprintf("%016x", expected))
	m.count(answers)
	if m.converged {
		m.recordConvergence(now)
	}
}

// queryAll asks all processes that are up, a few at a time.
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

// compare compares the views with the digest that they should have. A process that has gone down meanwhile is left out.
// mu must be held.
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

// count takes the counters of the processes. mu must be held.
func (m *membershipCheck) count(answers []pollAnswer) {
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

// recordConvergence notes that all know of all changes. mu must be held.
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
		if elapsed == converging { // the event overtakes it
			delete(m.convergence, earlier)
		}
	}
	m.changedAt = now
	if event.Targets != nil || event.Undo { // while links are cut nobody has gone
		m.convergence[name] = converging
	}
}

// afterEvent is called when an event was applied.
func (m *membershipCheck) afterEvent(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changedAt = now
}

// check checks the invariant when an event has had its time to settle, or, with nil, at the end.
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

// isMembershipChanging reports whether members come and go all the time, by a rollout or a release that crashes. Views are
// checked once that is over.
func (m *membershipCheck) isMembershipChanging() bool {
	return m.cluster.disruptions.inProgress() || m.cluster.script.BadRelease.CrashAfter > 0
}
