package drill

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/goldentest"
	"lanewheel/internal/membership"
)

// statusLine is the part of a process's answer on its status socket that a drill reads.
const statusLine = `{"name":"p000","life":"000000000000001f","standing":"whole","reach":1,"digest":"%016x",` +
	`"states":{"up":1},"members":[{"name":"p001","state":"suspect","why":"silent"}],` +
	`"counts":{"suspect-gone":3,"up-suspect":5,"bytes-in":1000,"bytes-out":200,"packets-out":7},"cpu_ms":40}` + "\n"

// figuresRun is a drill of two instances, one of which runs. The status socket of the running instance always returns
// the same answer.
type figuresRun struct {
	t              *testing.T
	cluster        *cluster
	check          *membershipCheck
	id             membership.ID // of the running process
	statusRequests chan string   // lines that its status socket received
	metrics        []metric
	violations     []violation
}

func newFiguresRun(t *testing.T) *figuresRun {
	t.Helper()
	script := &config.Drill{
		Instances:        2,
		LoadDuration:     20 * time.Second,
		SpilloverEnabled: true,
		Balance: config.DrillBalance{
			Enabled:      true,
			MaxImbalance: 0.01,
			MaxIdleGaps:  0.01,
			RecoveryTime: time.Second,
		},
		FinalRelease:       "2",
		LimitedRelease:     "3",
		MaxLimitedFraction: 0.1,
		Releases:           []string{"1"},
		Zones:              []string{"a"},
	}
	running := &process{name: "p000", dir: t.TempDir(), cmd: &exec.Cmd{}, release: "1"}
	r := &figuresRun{
		t:              t,
		id:             membership.ID{Name: "p000", BootID: 0x1f},
		statusRequests: make(chan string, 64),
		cluster: &cluster{
			callbacks: callbacks{print: func(string) {}},
			script:    script,
			processes: []*process{running, {name: "p001", index: 1, release: "2"}},
		},
	}
	r.check = newMembershipCheck(r.cluster)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "unix", filepath.Join(running.dir, "w"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go r.answerStatus(listener)
	return r
}

func (r *figuresRun) answerStatus(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(connection).ReadString('\n')
		r.statusRequests <- line
		_, _ = fmt.Fprintf(connection, statusLine, membership.Fingerprint(r.id))
		_ = connection.Close()
	}
}

// pollFirst polls the processes and checks the values that are read from the status.
func (r *figuresRun) pollFirst() {
	r.check.poll(0)
	if got := <-r.statusRequests; got != "brief\n" {
		r.t.Fatalf("status request %q, want \"brief\\n\"", got)
	}
	counts := r.check.counts
	want := usage{bytes: 1200, cpuMillis: 40, packets: 7}
	if !r.check.converged || r.check.usage[r.id] != want || counts.evictions[r.id] != 3 || counts.suspicions[r.id] != 5 {
		r.t.Fatal(r.check.converged, r.check.divergentDetail, r.check.usage, counts)
	}
}

// measureIdle records the metrics of idle usage by name, with the value 0, because their values depend on the clock.
func (r *figuresRun) measureIdle() {
	idle := newIdleUsage(r.check)
	idle.before = map[membership.ID]usage{r.id: {}}
	idle.startedAt = time.Now().Add(-time.Second)
	idle.finish(r.check, 3*time.Second)
	for _, m := range idle.metrics {
		r.metrics = append(r.metrics, metric{m.Name, 0})
	}
}

// checkMembership applies and reverts a fault during which a process is evicted.
func (r *figuresRun) checkMembership() {
	fault := &config.DrillFault{Name: "halves", Action: "kill", Duration: 2 * time.Second, ForbidEviction: true}
	begin := &Event{At: 9 * time.Second, Fault: fault, Targets: []int{0}}
	end := &Event{At: 11 * time.Second, Fault: fault, Undo: true, Targets: []int{0}}
	r.check.beforeEvent(begin, 9*time.Second)
	r.check.poll(10 * time.Second)
	r.check.countsBefore.evictions[r.id] = 1
	r.check.countsBefore.suspicions[r.id] = 1
	r.violations = append(r.violations, r.check.check(begin, 10*time.Second)...)
	r.check.beforeEvent(end, 11*time.Second)
	r.check.poll(13 * time.Second)
	r.check.converged = false
	r.violations = append(r.violations, r.check.check(nil, 13*time.Second)...)
	r.metrics = append(r.metrics, r.check.metrics...)
}

func (r *figuresRun) checkRollout() {
	r.cluster.disruptions = newDisruptionLog()
	r.cluster.disruptions.maxOut[allProcesses] = 2
	r.cluster.disruptions.processesByRelease["3"] = map[string]bool{"p000": true}
	r.add(r.cluster.checkRollout())
}

// checkBalance checks the balance of 200 requests, two thirds of which run on the first instance.
func (r *figuresRun) checkBalance() {
	startedAt := time.Unix(1_700_000_000, 0)
	log := &requestLog{}
	for i := range 200 {
		at := startedAt.Add(time.Duration(i) * 100 * time.Millisecond)
		log.requests = append(log.requests, &issuedRequest{
			id:         fmt.Sprint(i),
			class:      "view",
			sentAt:     at,
			answeredAt: at,
			outcome:    outcomeSucceeded,
			responses:  1,
			executions: []execution{{i % 3 % 2, at}},
		})
	}
	r.add(checkBalance(r.cluster, log, nil, startedAt, startedAt.Add(20*time.Second)))
}

func (r *figuresRun) add(metrics []metric, violations []violation) {
	r.metrics = append(r.metrics, metrics...)
	r.violations = append(r.violations, violations...)
}

// TestGoldenFigures checks the values that are read from a process's status, and the names of the metrics and rules
// that are derived from them and from the load.
func TestGoldenFigures(t *testing.T) {
	r := newFiguresRun(t)
	r.pollFirst()
	r.measureIdle()
	r.checkMembership()
	r.checkRollout()
	r.checkBalance()
	var text bytes.Buffer
	for _, m := range r.metrics {
		fmt.Fprintf(&text, "%s = %.4g\n", m.Name, m.Value)
	}
	for _, v := range r.violations {
		fmt.Fprintf(&text, "%v %s: %s\n", v.At, v.Rule, v.Detail)
	}
	goldentest.CheckText(t, "testdata/figures.txt", text.Bytes())
}
