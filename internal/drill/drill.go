// Package drill runs game-day drills: it starts processes of this program with fake dependencies, injects the faults of
// a script into the processes and the links between them, and checks invariants.
package drill

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"lanewheel/internal/config"
)

const (
	// startTimeout is the maximum time until all processes know each other, in addition to the script's startup
	// duration.
	startTimeout = 60 * time.Second

	// The interval at which views are compared: at least the minimum, and longer with hundreds of instances, because
	// each process has to answer.
	minPollInterval        = 250 * time.Millisecond
	pollIntervalPerProcess = 3 * time.Millisecond

	// coordinatorBinary is the program that all processes run if the script has coordinators. It includes the commands
	// of the other programs.
	coordinatorBinary = "lanewheel-coordinator"
)

// printf prints output for the operator. Write errors are ignored: the operator notices missing output.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// Run runs a script with processes of the program at binary, prints its progress and returns the record. It returns an
// error if the drill could not be run; violated invariants are in the record.
func Run(script *config.Drill, binary string, out io.Writer) (Record, error) {
	if err := checkMemory(script, out); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lanewheel-drill")
	if err != nil {
		return nil, err
	}
	if script.Coordinators > 0 {
		binary = filepath.Join(filepath.Dir(binary), coordinatorBinary)
	}
	r := newRun(script, out)
	record, err := r.execute(binary, dir)
	if r.cluster != nil && (err != nil || record.violationCount() > 0 || script.KeepLogs) {
		printf(out, "logs of the processes are under %s\n", dir)
	} else {
		_ = os.RemoveAll(dir) // remaining files in a temporary directory do no harm
	}
	return record, err
}

// run is one drill in progress. Its fields are owned by the goroutine of Run, except failures, which may be used on any
// goroutine.
type run struct {
	script     *config.Drill
	out        io.Writer
	cluster    *cluster // nil until setUp has created it
	requests   *requestLog
	membership *membershipCheck
	idle       *idleUsage
	events     []Event
	next       int       // index of the next event
	startedAt  time.Time // of the load
	failures   failures
	violations []violation
	metrics    []metric
	divergent  []Row
}

func newRun(script *config.Drill, out io.Writer) *run {
	return &run{
		script:   script,
		out:      out,
		requests: &requestLog{byID: map[string]*issuedRequest{}},
		events:   Timeline(script),
	}
}

// execute runs the drill and returns its record, or an error if the processes could not be started.
func (r *run) execute(binary, dir string) (Record, error) {
	if err := r.setUp(binary, dir); err != nil {
		return nil, err
	}
	defer r.cluster.close()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	r.startedAt = time.Now()
	r.failures.reset(r.startedAt)
	var load sync.WaitGroup
	load.Go(func() { r.requests.generateLoad(r.cluster, r.startedAt.Add(r.script.LoadDuration)) })
	r.idle = newIdleUsage(r.membership)
	for until := r.duration(); r.next < len(r.events) || r.elapsed() < until; {
		if now := r.elapsed(); r.next < len(r.events) && now >= r.events[r.next].At {
			r.applyNext(now)
		} else {
			r.observe(now)
			time.Sleep(pollInterval(r.script))
		}
	}
	load.Wait()
	return r.finish(), nil
}

// setUp creates the cluster and prints the timeline.
func (r *run) setUp(binary, dir string) error {
	r.failures.reset(time.Now())
	cluster, err := newCluster(r.script, binary, dir, callbacks{
		onExecution: r.requests.recordExecution,
		onFailure:   r.failures.add,
		print:       func(line string) { printf(r.out, "%s\n", line) },
	})
	if err != nil {
		return err
	}
	if r.script.Coordinators > 0 {
		if err := cluster.listenForHooks(); err != nil {
			cluster.close()
			return err
		}
	}
	for _, event := range r.events {
		printf(r.out, "%s\n", event)
	}
	r.cluster = cluster
	r.membership = newMembershipCheck(cluster)
	return nil
}

// startAll starts all processes, spread over the script's startup duration, and waits until each process knows all
// others. It returns an error if that takes too long.
func (r *run) startAll() error {
	processes := r.cluster.processes
	for _, p := range processes {
		if err := p.writeFiles(); err != nil {
			return err
		}
	}
	firstAt := time.Now()
	for i, p := range processes {
		time.Sleep(time.Until(firstAt.Add(r.script.StartupDuration * time.Duration(i) / time.Duration(len(processes)))))
		if err := p.start(); err != nil {
			return err
		}
	}
	startedAt := time.Now()
	limit := startTimeout + r.script.StartupDuration
	for r.membership.poll(0); !r.membership.converged; r.membership.poll(0) {
		if time.Since(startedAt) > limit {
			return fmt.Errorf("%d of %d processes do not know all others after %v; %s",
				r.membership.divergent, len(processes), limit, r.membership.divergentDetail)
		}
		time.Sleep(pollInterval(r.script))
	}
	seconds := time.Since(startedAt).Seconds()
	printf(r.out, "%d processes are up and know each other after %.1f s\n", len(processes), seconds)
	r.membership.metrics = append(r.membership.metrics, metric{"s until all know all, at the start", seconds})
	return nil
}

// elapsed returns the time since the start of the load.
func (r *run) elapsed() time.Duration { return time.Since(r.startedAt) }

// duration returns the minimum duration of the drill, which includes the settle timeout of the last event.
func (r *run) duration() time.Duration {
	if len(r.events) == 0 {
		return r.script.LoadDuration
	}
	return max(r.script.LoadDuration, r.events[len(r.events)-1].At+r.script.SettleTimeout)
}

// pollInterval returns the interval at which views are compared.
func pollInterval(script *config.Drill) time.Duration {
	return max(minPollInterval, time.Duration(script.Instances)*pollIntervalPerProcess)
}

// applyNext applies the next event.
func (r *run) applyNext(now time.Duration) {
	event := &r.events[r.next]
	r.next++
	r.idle.finish(r.membership, now)
	r.membership.beforeEvent(event, now)
	printf(r.out, "%s\n", event)
	if event.Targets == nil {
		r.cluster.network.apply(*event)
	} else {
		r.cluster.apply(*event)
	}
	r.membership.afterEvent(r.elapsed())
}

// observe polls all processes and checks their memory, and checks the invariants once the settle timeout of the last
// event has passed.
func (r *run) observe(now time.Duration) {
	r.membership.poll(now)
	r.divergent = append(r.divergent, Row{
		AtMS:  now.Milliseconds(),
		Kind:  kindDivergent,
		Value: float64(r.membership.divergent),
	})
	for _, p := range r.cluster.processes {
		if mb := p.residentMB(); mb > r.script.MaxMemoryMB {
			r.failures.add(fmt.Sprintf("%s holds %.0f MB", p.name, mb))
		}
	}
	if event := r.settledEvent(now); event != nil {
		r.violations = append(r.violations, r.membership.check(event, now)...)
		event.checked = true
	}
}

// settledEvent returns the last event if the invariants must be checked for it now. It returns nil if they were checked
// already, if the event's settle timeout has not passed, if the event's fault has yet to end, or if the next event
// comes within the settle timeout.
func (r *run) settledEvent(now time.Duration) *Event {
	if r.next == 0 {
		return nil
	}
	event := &r.events[r.next-1]
	settledAt := event.At + r.script.SettleTimeout
	switch {
	case event.checked || now < settledAt || event.Fault.Duration > 0 && !event.Undo:
		return nil
	case r.next < len(r.events) && r.events[r.next].At <= settledAt:
		return nil
	}
	return event
}

// finish makes the final checks and returns the record.
func (r *run) finish() Record {
	endedAt := time.Now()
	r.membership.poll(r.elapsed())
	r.violations = append(r.violations, r.membership.check(nil, r.elapsed())...)
	r.idle.finish(r.membership, r.elapsed())
	r.metrics = slices.Concat(r.membership.metrics, r.idle.metrics)
	r.measureProcesses()
	if r.script.Coordinators > 0 {
		r.add(r.cluster.checkRollout())
	}
	r.add(checkBalance(r.cluster, r.requests, r.events, r.startedAt, endedAt))
	traffic := r.cluster.network.total()
	r.violations = append(r.violations, r.failures.all()...)
	r.violations = append(r.violations, checkRequestRules(r.cluster, r.requests, r.startedAt, endedAt)...)
	results := &results{
		startedAt:  r.startedAt,
		requests:   r.requests,
		events:     r.events,
		divergent:  r.divergent,
		links:      r.cluster.network.rows(r.nameOf),
		violations: r.violations,
		metrics:    r.metrics,
	}
	printf(r.out, "the links carried %s\n", &traffic)
	return results.record(r.cluster.processes)
}

func (r *run) add(metrics []metric, violations []violation) {
	r.metrics = append(r.metrics, metrics...)
	r.violations = append(r.violations, violations...)
}

// nameOf returns the name of the process with the given index. For unknownSender it returns the text that records hold.
func (r *run) nameOf(index int) string {
	if index == unknownSender {
		return "a stranger"
	}
	return r.cluster.processes[index].name
}

// measureProcesses records the memory of the processes and the calls to the services, and reports a failure for each
// service with more concurrent calls than its capacity.
func (r *run) measureProcesses() {
	peak := 0.0
	for _, p := range r.cluster.processes {
		peak = max(peak, p.residentMB())
	}
	r.metrics = append(r.metrics, metric{"MB of its own, the fullest process", peak})
	for _, service := range r.cluster.services {
		maxInFlight, calls := service.totals()
		r.metrics = append(r.metrics,
			metric{"calls at a time, the most at " + service.name, float64(maxInFlight)},
			metric{"calls at " + service.name, float64(calls)})
		if maxInFlight > service.capacity {
			r.failures.add(fmt.Sprintf("%s: %d calls at a time, the cap is %d", service.name, maxInFlight, service.capacity))
		}
	}
}

// failures collects failures during a drill as violations of ruleNothingCrashes. Its methods may be called on any
// goroutine.
type failures struct {
	mu         sync.Mutex
	since      time.Time
	violations []violation
}

// reset sets the reference time: each violation added later holds the time since then.
func (f *failures) reset(since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.since = since
}

func (f *failures) add(detail string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, violation{time.Since(f.since), ruleNothingCrashes, detail})
}

func (f *failures) all() []violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}
