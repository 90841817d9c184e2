package drill

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"lanewheel/internal/config"
)

// Run carries a script out with processes of the program at binary, prints how it goes, and gives the record. An error is what
// kept it from being carried out; whatever did not hold is in the record.
func Run(script *config.Drill, binary string, out io.Writer) (Record, error) {
	if err := checkMemory(script, out); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lanewheel-drill")
	if err != nil {
		return nil, err
	}
	keepLogs := false
	defer func() {
		if keepLogs {
			fmt.Fprintf(out, "what the processes logged is under %s\n", dir)
		} else {
			os.RemoveAll(dir)
		}
	}()
	w, err := newCluster(script, binary, dir)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if script.Coordinators > 0 {
		w.binary = filepath.Join(filepath.Dir(binary), "lanewheel-coordinator") // it has all that the others have
	}
	var mu sync.Mutex
	var violations, processViolations []violation
	failuresSince := time.Now()
	w.fail = func(detail string) {
		mu.Lock()
		defer mu.Unlock()
		processViolations = append(processViolations, violation{time.Since(failuresSince), "nothing falls over", detail})
	}
	w.print = func(line string) { fmt.Fprintln(out, line) }
	requests := &requestLog{byID: map[string]*issuedRequest{}}
	w.onExecution = requests.recordExecution
	if script.Coordinators > 0 {
		if err := w.listenForHooks(); err != nil {
			return nil, err
		}
	}
	events := Timeline(script)
	for _, event := range events {
		fmt.Fprintln(out, event)
	}
	membership := &membershipCheck{cluster: w, convergence: map[string]time.Duration{}}
	startTime, err := startAll(w, membership, out)
	if err != nil {
		keepLogs = true
		return nil, err
	}
	membership.metrics = append(membership.metrics, metric{"s until all know all, at the start", startTime.Seconds()})
	startedAt := time.Now()
	mu.Lock()
	failuresSince = startedAt
	mu.Unlock()
	var divergence []Row
	var load sync.WaitGroup
	load.Add(1)
	go func() { defer load.Done(); requests.generateLoad(w, startedAt.Add(script.LoadDuration)) }()
	idle := newIdleUsage(membership)
	until := script.LoadDuration // the last fault has its time to settle
	if len(events) > 0 {
		until = max(until, events[len(events)-1].At+script.SettleTimeout)
	}
	for next := 0; next < len(events) || time.Since(startedAt) < until; {
		now := time.Since(startedAt)
		if next < len(events) && now >= events[next].At {
			event := &events[next]
			next++
			idle.finish(membership, now)
			membership.beforeEvent(event, now)
			fmt.Fprintln(out, event)
			if event.Targets == nil {
				w.links.apply(*event)
			} else {
				w.apply(*event)
			}
			membership.mu.Lock()
			membership.changedAt = time.Since(startedAt) // from when it is done
			membership.mu.Unlock()
			continue
		}
		violations = append(violations, membership.check(now)...)
		divergence = append(divergence, Row{now.Milliseconds(), "differs", "", "", "", float64(membership.divergent)})
		for _, p := range w.processes {
			if mb := p.residentMB(); mb > script.MaxMemoryMB {
				w.fail(fmt.Sprintf("%s holds %.0f MB", p.name, mb))
			}
		}
		// A fault that is behind, with its time to settle, is judged; the next one may have begun within it.
		if next > 0 && (next == len(events) || events[next].At > events[next-1].At+script.SettleTimeout) && !events[next-1].skipCheck(now, script) {
			violations = append(violations, membership.afterFault(&events[next-1], now)...)
			events[next-1].checked = true
		}
		time.Sleep(pollInterval(script))
	}
	load.Wait()
	endedAt := time.Now()
	membership.poll(time.Since(startedAt))
	violations = append(violations, membership.afterFault(nil, time.Since(startedAt))...)
	idle.finish(membership, time.Since(startedAt))
	peak := 0.0
	for _, p := range w.processes {
		peak = max(peak, p.residentMB())
	}
	figures := append(membership.metrics, idle.metrics...)
	figures = append(figures, metric{"MB of its own, the fullest process", peak})
	for _, service := range w.services {
		peak, calls := service.peak()
		figures = append(figures, metric{"calls at a time, the most at " + service.name, float64(peak)}, metric{"calls at " + service.name, float64(calls)})
		if peak > service.cap {
			w.fail(fmt.Sprintf("%s: %d calls at a time, the cap is %d", service.name, peak, service.cap))
		}
	}
	if script.Coordinators > 0 {
		rollout, unmet := w.checkRollout()
		figures, violations = append(figures, rollout...), append(violations, unmet...)
	}
	balance, uneven := checkBalance(w, requests, events, startedAt, endedAt)
	figures, violations = append(figures, balance...), append(violations, uneven...)
	traffic := w.links.total()
	mu.Lock()
	violations = append(append(violations, processViolations...), checkRequestRules(w, requests, startedAt, endedAt)...)
	mu.Unlock()
	result := buildRecord(w, requests, events, divergence, w.links.rows(func(i int) string {
		if i < 0 {
			return "a stranger"
		}
		return w.processes[i].name
	}), violations, figures, startedAt)
	fmt.Fprintln(out, "the links carried", traffic)
	keepLogs = len(violations) > 0 || script.KeepLogs
	return result, nil
}

// pollInterval is how often views are compared: what is told in seconds is told to a quarter of one, or, with hundreds of processes
// that each have to answer, to some more.
func pollInterval(script *config.Drill) time.Duration {
	return max(250*time.Millisecond, time.Duration(script.Instances)*3*time.Millisecond)
}

// skipCheck tells whether an event is not to be judged now: it was, its time to settle is not over, or it is not the fault's last.
func (e *Event) skipCheck(now time.Duration, script *config.Drill) bool {
	return e.checked || now < e.At+script.SettleTimeout || e.Fault.Duration > 0 && !e.Undo
}

// startAll starts all processes over the told time and waits until each knows all.
func startAll(w *cluster, membership *membershipCheck, out io.Writer) (time.Duration, error) {
	for _, p := range w.processes {
		if err := w.writeFiles(p); err != nil {
			return 0, err
		}
	}
	first := time.Now()
	for index, p := range w.processes {
		time.Sleep(time.Until(first.Add(w.script.StartupDuration * time.Duration(index) / time.Duration(len(w.processes)))))
		if err := w.startProcess(p); err != nil {
			return 0, err
		}
	}
	started := time.Now()
	limit := 60*time.Second + w.script.StartupDuration
	for membership.poll(0); !membership.converged; membership.poll(0) {
		if time.Since(started) > limit {
			return 0, fmt.Errorf("%d of %d processes don't know all others after %v; %s", membership.divergent, len(w.processes), limit, membership.divergentDetail)
		}
		time.Sleep(pollInterval(w.script))
	}
	elapsed := time.Since(started)
	fmt.Fprintf(out, "%d processes are up and know each other after %.1f s\n", len(w.processes), elapsed.Seconds())
	return elapsed, nil
}
