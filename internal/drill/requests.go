package drill

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The rules and invariants of a drill, as stored in records.
const (
	ruleNoRequestLost  = "no op lost"
	ruleNoEffectTwice  = "no effect twice"
	ruleSafeDrains     = "safe drains"
	ruleViewsEqual     = "views equal"
	ruleNoneEvicted    = "none given up"
	ruleLoadEven       = "load even"
	ruleNoneIdle       = "none idle"
	ruleRelease        = "release"
	ruleNothingCrashes = "nothing falls over"
)

const (
	// drainGrace is the grace period of a drain in fake.Settings.
	drainGrace = 500 * time.Millisecond

	// drainSlack is the tolerance added to drainGrace for a busy machine.
	drainSlack = 150 * time.Millisecond
)

// violation is a violation of a rule or an invariant.
type violation struct {
	At     time.Duration // since the start of the load
	Rule   string
	Detail string
}

// metric is one measured value of a drill.
type metric struct {
	Name  string
	Value float64
}

// requestCheck checks the rules for requests over the whole fleet.
type requestCheck struct {
	cluster    *cluster
	startedAt  time.Time // of the load
	endedAt    time.Time
	violations []violation
}

// checkRequestRules returns the violations of the rules for requests.
func checkRequestRules(c *cluster, log *requestLog, startedAt, endedAt time.Time) []violation {
	log.mu.Lock()
	defer log.mu.Unlock()
	check := &requestCheck{cluster: c, startedAt: startedAt, endedAt: endedAt}
	for _, request := range log.requests {
		check.checkResponses(request)
		check.checkEffects(request)
		check.checkDrains(request)
	}
	return check.violations
}

func (c *requestCheck) addViolation(request *issuedRequest, rule, problem string) {
	detail := fmt.Sprintf("op %s (%s) at %s: %s; ran %s",
		request.id, request.class, c.cluster.processes[request.process].name, problem, c.describeRuns(request))
	c.violations = append(c.violations, violation{request.sentAt.Sub(c.startedAt), rule, detail})
}

// checkResponses checks that a request has exactly one response, that the response is in time, and that it agrees with
// the runs of the request. A response may be missing or late if the process could not answer.
func (c *requestCheck) checkResponses(request *issuedRequest) {
	const before, after = 100 * time.Millisecond, time.Second // an outage this long before or after may be the cause
	p := c.cluster.processes[request.process]
	excused := p.outBetween(request.sentAt.Add(-before), request.sentAt.Add(requestTimeout+after))
	elapsed := request.answeredAt.Sub(request.sentAt)
	switch {
	case request.responses > 1:
		c.addViolation(request, ruleNoRequestLost, fmt.Sprint(request.responses, " final answers"))
	case request.outcome == outcomeNone && c.endedAt.Sub(request.sentAt) > requestTimeout && !excused:
		c.addViolation(request, ruleNoRequestLost, "no answer")
	case request.outcome == outcomeBroken && !excused &&
		!p.outBetween(request.sentAt.Add(-after), request.answeredAt.Add(after)):
		c.addViolation(request, ruleNoRequestLost, "its connection ended")
	case request.responses == 1 && elapsed > requestTimeout && !excused:
		c.addViolation(request, ruleNoRequestLost, "answered after "+elapsed.String())
	case request.outcome == outcomeSucceeded && len(request.executions) == 0:
		c.addViolation(request, ruleNoRequestLost, "acked and never run")
	case request.outcome == outcomeRejected && len(request.executions) > 0 && request.class == classPay:
		c.addViolation(request, ruleNoEffectTwice, "nacked as never run, and run")
	}
}

// checkEffects checks that a request that is not idempotent runs at most once. Idempotent requests may run several
// times.
func (c *requestCheck) checkEffects(request *issuedRequest) {
	if len(request.executions) > 1 && request.class == classPay {
		c.addViolation(request, ruleNoEffectTwice, "run more than once")
	}
}

// checkDrains checks that a draining process runs no request that was sent after the grace period of the drain. If the
// request was sent to another process, such as a proxy, the drains of that process count as well.
func (c *requestCheck) checkDrains(request *issuedRequest) {
	for _, execution := range request.executions {
		drains := c.cluster.processes[execution.process].drainsSoFar()
		if execution.process != request.process {
			drains = append(drains, c.cluster.processes[request.process].drainsSoFar()...)
		}
		for _, drain := range drains {
			if request.sentAt.Sub(drain.from) > drainGrace+drainSlack && execution.at.Before(drain.to) {
				c.addViolation(request, ruleSafeDrains, "run although it came later than the grace after the notice")
			}
		}
	}
}

func (c *requestCheck) describeRuns(request *issuedRequest) string {
	if len(request.executions) == 0 {
		return "nowhere"
	}
	var runs []string
	for _, execution := range request.executions {
		elapsed := execution.at.Sub(request.sentAt).Round(time.Millisecond)
		runs = append(runs, fmt.Sprintf("%s after %v", c.cluster.processes[execution.process].name, elapsed))
	}
	return strings.Join(runs, ", ")
}

// drainsSoFar returns a copy of the drains of the process up to now.
func (p *process) drainsSoFar() []interval {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.drains)
}
