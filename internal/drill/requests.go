package drill

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// violation is a rule or an invariant that did not hold.
type violation struct {
	At     time.Duration
	Rule   string
	Detail string
}

// metric is one measured value of a rehearsal.
type metric struct {
	Name  string
	Value float64
}

// checkRequestRules judges the history of ops over the whole fleet.
func checkRequestRules(w *cluster, log *requestLog, startedAt time.Time, endedAt time.Time) (all []violation) {
	log.mu.Lock()
	defer log.mu.Unlock()
	violate := func(request *issuedRequest, rule, what string) {
		all = append(all, violation{request.sentAt.Sub(startedAt), rule, fmt.Sprintf("op %s (%s) at %s: %s; ran %s", request.id, request.class, w.processes[request.process].name, what, describeRuns(w, request))})
	}
	for _, request := range log.requests {
		p := w.processes[request.process]
		excused := p.stoppedBetween(request.sentAt.Add(-100*time.Millisecond), request.sentAt.Add(requestTimeout+time.Second))
		switch {
		case request.responses > 1:
			violate(request, "no op lost", fmt.Sprint(request.responses, " final answers"))
		case request.outcome == "" && endedAt.Sub(request.sentAt) > requestTimeout && !excused:
			violate(request, "no op lost", "no answer")
		case request.outcome == "broken" && !excused && !p.stoppedBetween(request.sentAt.Add(-time.Second), request.answeredAt.Add(time.Second)):
			violate(request, "no op lost", "its connection ended")
		case request.responses == 1 && request.answeredAt.Sub(request.sentAt) > requestTimeout && !excused:
			violate(request, "no op lost", "answered after "+request.answeredAt.Sub(request.sentAt).String())
		case request.outcome == "acked" && len(request.executions) == 0:
			violate(request, "no op lost", "acked and never run")
		case request.outcome == "Busy" && len(request.executions) > 0 && request.class == "pay": // a retryable run may be nacked, and asked for again
			violate(request, "no effect twice", "nacked as never run, and run")
		}
		if len(request.executions) > 1 && request.class == "pay" { // the others may run again
			violate(request, "no effect twice", "run more than once")
		}
		const grace, slack = 500 * time.Millisecond, 150 * time.Millisecond // told in the settings; a busy machine's
		for _, execution := range request.executions {
			told := w.processes[execution.process].drainNotices()
			if execution.process != request.process { // it came by a relay, whose notice counts as well
				told = append(told, p.drainNotices()...)
			}
			for _, told := range told {
				if request.sentAt.Sub(told[0]) > grace+slack && execution.at.Before(told[1]) {
					violate(request, "safe drains", "run although it came later than the grace after the notice")
				}
			}
		}
	}
	return all
}

func describeRuns(w *cluster, request *issuedRequest) string {
	if len(request.executions) == 0 {
		return "nowhere"
	}
	var places []string
	for _, execution := range request.executions {
		places = append(places, fmt.Sprintf("%s after %v", w.processes[execution.process].name, execution.at.Sub(request.sentAt).Round(time.Millisecond)))
	}
	return strings.Join(places, ", ")
}

// stoppedBetween tells whether we stood a process still or ended it between two moments.
func (p *process) stoppedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.outages, func(outage [2]time.Time) bool {
		return outage[0].Before(to) && (outage[1].IsZero() || outage[1].After(from))
	})
}

func (p *process) drainNotices() [][2]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.drains)
}
