package drill

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/coordination"
	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

// RunHook asks the rehearsal at a socket to start a member anew on a release: it is what the stewards of a rehearsal are told to run.
func RunHook(socket, name, release string, out io.Writer) error {
	connection, err := net.DialTimeout("unix", socket, time.Second)
	if err != nil {
		return err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(connection, "%s %s\n", name, release); err != nil {
		return err
	}
	reply, err := bufio.NewReader(connection).ReadString('\n')
	if err == nil {
		fmt.Fprint(out, reply)
	}
	if err == nil && reply != "started\n" {
		err = fmt.Errorf("%s", strings.TrimSpace(reply))
	}
	return err
}

// disruptionLog is who was out by a permit, by the rehearsal's own clock and eyes: from its end to when its next life has come up.
type disruptionLog struct {
	mu         sync.Mutex
	out        map[*process]bool
	lastReturn time.Time      // when one was last back
	maxOut     map[string]int // by group: the most at a time
	limits     map[string]int // and the most that may be
	everOn     map[string]map[string]bool
}

// stewards makes the stewards of a rehearsal listen to it: the socket by which their command has members started.
func (w *cluster) listenForHooks() error {
	w.disruptions = &disruptionLog{out: map[*process]bool{}, maxOut: map[string]int{}, limits: map[string]int{}, everOn: map[string]map[string]bool{}}
	for _, p := range w.processes {
		w.disruptions.noteRelease(p)
	}
	listener, err := net.Listen("unix", w.hookPath())
	if err != nil {
		return err
	}
	w.hookListener = listener
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				line, err := bufio.NewReader(connection).ReadString('\n')
				name, release, _ := strings.Cut(strings.TrimSpace(line), " ")
				if err == nil {
					err = w.restart(name, strings.TrimSpace(release))
				}
				if err != nil {
					fmt.Fprintln(connection, err)
					return
				}
				fmt.Fprintln(connection, "started")
			}()
		}
	}()
	return nil
}

func (w *cluster) hookPath() string { return filepath.Join(w.dir, "hook") }

// restart starts a process that has left by a permit.
func (w *cluster) restart(name, release string) error {
	for _, p := range w.processes {
		if p.name != name {
			continue
		}
		p.mu.Lock()
		running := p.cmd != nil && !p.exited
		p.mu.Unlock()
		if running {
			return fmt.Errorf("%s is there", name)
		}
		if release != "" {
			p.mu.Lock()
			p.release = release
			p.mu.Unlock()
			w.disruptions.noteRelease(p)
		}
		if err := w.writeFiles(p); err != nil {
			return err
		}
		return w.startProcess(p)
	}
	return fmt.Errorf("no process %q", name)
}

// noteRelease notes on which release a process is.
func (o *disruptionLog) noteRelease(p *process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.everOn[p.release] == nil {
		o.everOn[p.release] = map[string]bool{}
	}
	o.everOn[p.release][p.name] = true
}

// groups are those that a process counts in.
func (o *disruptionLog) groups(p *process, zone string) []string {
	return []string{"all", "zone " + zone}
}

// noteOut notes that a process ended by a permit; it gives what is over its budget then.
func (o *disruptionLog) noteOut(w *cluster, p *process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out[p] = true
	for _, group := range o.groups(p, zoneOf(w.script, p.index)) {
		count := 0
		for other := range o.out {
			if group == "all" || group == "zone "+zoneOf(w.script, other.index) {
				count++
			}
		}
		o.maxOut[group] = max(o.maxOut[group], count)
		if limit, limited := o.limits[group]; limited && count > limit {
			go w.fail(fmt.Sprintf("%s left by a permit and %d of %s are out by one, %d may be", p.name, count, group, limit))
		}
	}
}

func (o *disruptionLog) noteBack(p *process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.out[p] {
		o.lastReturn = time.Now()
	}
	delete(o.out, p)
}

// inProgress tells whether somebody is out by a permit, or was a moment ago.
func (o *disruptionLog) inProgress() bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.out) > 0 || time.Since(o.lastReturn) < 10*time.Second
}

// setLimits notes what may be out, as far as the rehearsal can see it: counts over all and by zone.
func (o *disruptionLog) setLimits(budgets []coordination.DisruptionBudget) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits = map[string]int{}
	for _, budget := range budgets {
		switch {
		case budget.MaxUnavailable < 0 || budget.Selector.Release != "" || budget.Selector.Upstream != "" || budget.Selector.Role != "" && budget.Selector.Role != "instance":
		case budget.Selector.Zone != "":
			o.limits["zone "+budget.Selector.Zone] = budget.MaxUnavailable
		default:
			o.limits["all"] = budget.MaxUnavailable
		}
	}
}

func (w *cluster) coordinatorClient() client.Client {
	coordinators := client.Client{Timeout: 30 * time.Second}
	for _, p := range w.processes {
		if p.isCoordinator {
			coordinators.Coordinators = append(coordinators.Coordinators, fmt.Sprintf("%s:%d", p.host, coordinatorPort))
		}
	}
	for _, key := range w.keys[:1] {
		parsed, _ := config.ParseClusterKeys("keys", []byte(key))
		coordinators.Keys = append(coordinators.Keys, parsed...)
	}
	return coordinators
}

// runCommand gives a command to the stewards, as an operator would: budgets FILE, release FILE, halt, resume, back, drain NAME, drain zone NAME.
func (w *cluster) runCommand(text, key string) (string, error) {
	command := coordination.Command{RequestedBy: "rehearsal", IdempotencyKey: key}
	action, argument, _ := strings.Cut(text, " ")
	argument = strings.TrimSpace(argument)
	readFile := func() ([]byte, error) { return os.ReadFile(filepath.Join(filepath.Dir(w.script.Path), argument)) }
	switch action {
	case "budgets":
		text, err := readFile()
		if err != nil {
			return "", err
		}
		command.Kind = coordination.KindSetBudgets
		if command.Budgets, err = config.ParseBudgets(argument, text); err != nil {
			return "", err
		}
		w.disruptions.setLimits(command.Budgets)
	case "release":
		text, err := readFile()
		if err != nil {
			return "", err
		}
		plan, err := config.ParseRollout(argument, text)
		if err != nil {
			return "", err
		}
		command.Kind, command.Plan = coordination.KindStartRollout, &plan
	case "halt", "resume", "back":
		command.Kind = coordination.Kind(action)
	case "drain":
		if zone, isZone := strings.CutPrefix(argument, "zone "); isZone {
			command.Kind, command.Selector = coordination.KindDrain, coordination.Selector{Zone: zone, Role: "instance"}
		} else {
			command.Kind, command.Member = coordination.KindRequestPermit, membership.Name(argument)
		}
	default:
		return "", fmt.Errorf("no command %q", text)
	}
	answer, err := w.coordinatorClient().Do(client.Request{Command: &command})
	switch {
	case err != nil:
		return "", err
	case answer.Error != "":
		return "", fmt.Errorf("%s", answer.Error)
	case !answer.Reply.OK:
		return "refused: " + answer.Reply.Reason, nil
	}
	return "agreed", nil
}

// rolloutPhase is where the release is now, by whichever steward answers.
func (w *cluster) rolloutPhase() string {
	coordinators := w.coordinatorClient()
	coordinators.Timeout = time.Second
	answer, err := coordinators.Do(client.Request{Status: true})
	switch {
	case err != nil:
		return "unknown"
	case answer.Status.Halt != nil:
		return "halted"
	case answer.Status.Rollout == nil:
		return "none"
	}
	return string(answer.Status.Rollout.Phase)
}

// checkRollout judges what the script says of the end: on which release all instances are, and how many were ever on one.
func (w *cluster) checkRollout() (metrics []metric, violations []violation) {
	script := w.script
	w.disruptions.mu.Lock()
	defer w.disruptions.mu.Unlock()
	for _, group := range []string{"all"} {
		metrics = append(metrics, metric{"out by permits at a time, the most of " + group, float64(w.disruptions.maxOut[group])})
	}
	if script.FinalRelease != "" {
		others := 0
		for _, p := range w.processes[:script.Instances] {
			p.mu.Lock()
			if p.release != script.FinalRelease || p.exited {
				others++
			}
			p.mu.Unlock()
		}
		metrics = append(metrics, metric{"instances that are not on release " + script.FinalRelease + " at the end", float64(others)})
		if others > 0 {
			violations = append(violations, violation{script.LoadDuration, "release", fmt.Sprintf("%d instances are not on release %s at the end", others, script.FinalRelease)})
		}
	}
	if script.LimitedRelease != "" {
		count := len(w.disruptions.everOn[script.LimitedRelease])
		metrics = append(metrics, metric{"instances that were ever on release " + script.LimitedRelease, float64(count)})
		if float64(count) > script.MaxLimitedFraction*float64(script.Instances) {
			violations = append(violations, violation{script.LoadDuration, "release", fmt.Sprintf("%d instances were on release %s, %.0f%% is told", count, script.LimitedRelease, 100*script.MaxLimitedFraction)})
		}
	}
	return metrics, violations
}

// releaseFaults is what is wrong with a release, as the script has it.
func (w *cluster) releaseFaults(release string) (fake.RuntimeFaults, bool) {
	if w.script.BadRelease.Release == "" || w.script.BadRelease.Release != release {
		return fake.RuntimeFaults{}, false
	}
	return fake.RuntimeFaults{SlowFactor: w.script.BadRelease.RunTimeFactor, FailRuns: w.script.BadRelease.FailRuns}, true
}
