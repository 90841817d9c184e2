package drill

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/coordination"
	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

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
