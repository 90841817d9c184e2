package drill

import (
	"testing"
	"time"

	"lanewheel/internal/config"
)

// TestRequestRules checks that a request that breaks a rule yields one violation, and any other request none.
func TestRequestRules(t *testing.T) {
	startedAt := time.Now()
	at := func(ms int) time.Time { return startedAt.Add(time.Duration(ms) * time.Millisecond) }
	c := &cluster{script: &config.Drill{Instances: 2}, processes: []*process{
		{name: "p0"},
		{name: "p1", drains: []interval{{at(9000), at(10500)}}},
		{name: "p2", outages: []interval{{at(0), at(5000)}}},
	}}
	for _, test := range requestRuleTests(at) {
		request := test.request
		request.executions = test.ran
		log := &requestLog{requests: []*issuedRequest{&request}}
		violations := checkRequestRules(c, log, startedAt, at(20000))
		if test.rule == "" && len(violations) > 0 {
			t.Errorf("%s: violations %v, want none", test.name, violations)
		}
		if test.rule != "" && (len(violations) != 1 || violations[0].Rule != test.rule) {
			t.Errorf("%s: violations %v, want one of rule %q", test.name, violations, test.rule)
		}
	}
}

// requestRuleTest is a request and the rule that it breaks.
type requestRuleTest struct {
	name    string
	rule    string // the rule that is broken, empty if none
	request issuedRequest
	ran     []execution
}

// requestRuleTests returns the test cases. The function at takes the milliseconds since the start of the load. The
// indexes refer to the processes of TestRequestRules.
func requestRuleTests(at func(ms int) time.Time) []requestRuleTest {
	return []requestRuleTest{
		{"succeeded", "", issuedRequest{
			class: "view", sentAt: at(0), answeredAt: at(10), outcome: outcomeSucceeded, responses: 1,
		}, []execution{{0, at(5)}}},
		{"rejected", "", issuedRequest{
			class: classPay, sentAt: at(0), answeredAt: at(10), outcome: outcomeRejected, responses: 1,
		}, nil},
		{"no response from a process that is out", "", issuedRequest{
			class: "view", process: 2, sentAt: at(1000),
		}, nil},
		{"within the grace of a drain", "", issuedRequest{
			class: "view", process: 1, sentAt: at(9400), answeredAt: at(9500), outcome: outcomeSucceeded, responses: 1,
		}, []execution{{1, at(9450)}}},
		{"run by the next incarnation after a drain", "", issuedRequest{
			class: "view", process: 1, sentAt: at(10600), answeredAt: at(10700), outcome: outcomeSucceeded, responses: 1,
		}, []execution{{1, at(10650)}}},

		{"no response", ruleNoRequestLost, issuedRequest{
			class: "view", sentAt: at(0),
		}, nil},
		{"two responses", ruleNoRequestLost, issuedRequest{
			class: "view", sentAt: at(0), answeredAt: at(10), outcome: outcomeSucceeded, responses: 2,
		}, []execution{{0, at(5)}}},
		{"late", ruleNoRequestLost, issuedRequest{
			class: "view", sentAt: at(0), answeredAt: at(4000), outcome: outcomeFailed, responses: 1,
		}, nil},
		{"run twice", ruleNoEffectTwice, issuedRequest{
			class: classPay, sentAt: at(0), answeredAt: at(10), outcome: outcomeSucceeded, responses: 1,
		}, []execution{{0, at(5)}, {2, at(7)}}},
		{"rejected and run", ruleNoEffectTwice, issuedRequest{
			class: classPay, sentAt: at(0), answeredAt: at(10), outcome: outcomeRejected, responses: 1,
		}, []execution{{0, at(5)}}},
		{"succeeded and never run", ruleNoRequestLost, issuedRequest{
			class: "view", sentAt: at(0), answeredAt: at(10), outcome: outcomeSucceeded, responses: 1,
		}, nil},
		{"connection lost", ruleNoRequestLost, issuedRequest{
			class: "view", sentAt: at(0), answeredAt: at(10), outcome: outcomeBroken,
		}, nil},
		{"past the grace of a drain", ruleSafeDrains, issuedRequest{
			class: "view", process: 1, sentAt: at(9800), answeredAt: at(9900), outcome: outcomeSucceeded, responses: 1,
		}, []execution{{1, at(9850)}}},
	}
}
