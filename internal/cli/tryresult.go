package cli

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lanewheel/internal/fake"
)

// classResult counts the requests of one class by outcome.
type classResult struct {
	sent, succeeded, rejected, failed, denied, unanswered int

	latency *hdrhistogram.Histogram // of the successful requests, in µs
}

// queueRow is the name of the table's row for messages sent through the queue.
const queueRow = "by queue"

// loadTest collects the results of the load.
type loadTest struct {
	mu      sync.Mutex // guards the fields below
	classes map[string]*classResult
	denials map[string]int // number of denials by reason
}

func newLoadTest(withQueue bool) *loadTest {
	const maxLatency = 60e6 // µs
	t := &loadTest{classes: map[string]*classResult{}, denials: map[string]int{}}
	rows := tryClasses
	if withQueue {
		rows = append(slices.Clone(rows), queueRow)
	}
	for _, row := range rows {
		t.classes[row] = &classResult{latency: hdrhistogram.New(1, maxLatency, 3)}
	}
	return t
}

func (t *loadTest) countSent(class string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[class].sent++
}

func (t *loadTest) countUnanswered(class string, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[class].unanswered += count
}

// record counts a response.
func (t *loadTest) record(class string, latency time.Duration, response fake.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.classes[class]
	switch response.Error {
	case "":
		result.succeeded++
		_ = result.latency.RecordValue(max(1, latency.Microseconds())) // latencies beyond the maximum are not recorded
	case "Busy":
		result.rejected++
	case "Denied":
		result.denied++
		t.denials[fmt.Sprint(response.Fields["why"])]++
	default:
		result.failed++
	}
}

// printProgress prints the totals once a second until done is closed.
func (t *loadTest) printProgress(o output, done chan struct{}) {
	began := time.Now()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		sum := t.sum()
		o.printf("%3.0fs asked %d acked %d nacked %d failed %d denied %d\n", time.Since(began).Seconds(),
			sum.sent, sum.succeeded, sum.rejected, sum.failed, sum.denied)
	}
}

// sum returns the totals of all classes, without the unanswered requests and the latencies.
func (t *loadTest) sum() classResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum classResult
	for _, result := range t.classes {
		sum.sent += result.sent
		sum.succeeded += result.succeeded
		sum.rejected += result.rejected
		sum.failed += result.failed
		sum.denied += result.denied
	}
	return sum
}

// printTable prints the results of each class, the denials by reason and the instance's CPU time per request.
func (t *loadTest) printTable(o output, cpuTime time.Duration) error {
	sent := t.sum().sent
	t.mu.Lock()
	defer t.mu.Unlock()
	table := newRightTable(o.out)
	table.row("op type", "asked", "acked", "nacked", "failed", "denied", "unanswered", "median ms", "99th ms", "")
	for _, class := range append(slices.Clone(tryClasses), queueRow) {
		result := t.classes[class]
		if result == nil {
			continue
		}
		quantile := func(q float64) string {
			return strconv.FormatFloat(float64(result.latency.ValueAtQuantile(q))/1e3, 'f', 1, 64)
		}
		table.row(class, result.sent, result.succeeded, result.rejected, result.failed, result.denied,
			result.unanswered, quantile(50), quantile(99), "")
	}
	if err := table.print(); err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(t.denials)) {
		o.printf("denied %s: %d\n", reason, t.denials[reason])
	}
	if sent > 0 {
		o.printf("CPU of the instance: %.0f µs an op\n", float64(cpuTime.Microseconds())/float64(sent))
	}
	return nil
}

// cpuTimeOf returns the CPU time that a process has used so far, or 0 if it can't be read from /proc.
func cpuTimeOf(pid int) time.Duration {
	const tick = 10 * time.Millisecond // unit of the times in /proc/PID/stat on all supported architectures
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The process name may contain any character, but ends at the last closing parenthesis. The fields after it start at
	// field 3, so that the user and system time, fields 14 and 15, have the indexes 11 and 12.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return time.Duration(user+system) * tick
}
