package drill

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

const (
	commandTimeout = 30 * time.Second
	statusTimeout  = time.Second
)

// instanceRole is the role of instances in the coordinators' selectors.
const instanceRole = "instance"

// coordinatorClient returns a client of all coordinators.
func (c *cluster) coordinatorClient(timeout time.Duration) (client.Client, error) {
	keys, err := config.ParseClusterKeys("keys", []byte(c.keys[0]))
	if err != nil {
		return client.Client{}, err
	}
	coordinators := client.Client{Timeout: timeout, Keys: keys}
	for _, p := range c.processes {
		if p.role == roleCoordinator {
			coordinators.Coordinators = append(coordinators.Coordinators, fmt.Sprintf("%s:%d", p.host, coordinatorPort))
		}
	}
	return coordinators, nil
}

// runCommand sends a command of a script to the coordinators and returns their answer: "agreed", or "refused: " with
// the reason. It returns an error if the command is invalid, cannot be sent or fails.
func (c *cluster) runCommand(text, idempotencyKey string) (answer string, err error) {
	command, err := c.parseCommand(text)
	if err != nil {
		return "", err
	}
	command.RequestedBy = "rehearsal"
	command.IdempotencyKey = idempotencyKey
	if command.Kind == coordination.KindSetBudgets {
		c.disruptions.setLimits(command.Budgets)
	}
	coordinators, err := c.coordinatorClient(commandTimeout)
	if err != nil {
		return "", err
	}
	response, err := coordinators.Do(client.Request{Command: &command})
	switch {
	case err != nil:
		return "", err
	case response.Error != "":
		return "", errors.New(response.Error)
	case !response.Reply.OK:
		return "refused: " + response.Reply.Reason, nil
	}
	return "agreed", nil
}

// parseCommand parses a command in the form that an operator uses: budgets FILE, release FILE, halt, resume, back,
// drain NAME or drain zone NAME.
func (c *cluster) parseCommand(text string) (command coordination.Command, err error) {
	action, argument, _ := strings.Cut(text, " ")
	argument = strings.TrimSpace(argument)
	switch action {
	case "budgets":
		command.Kind = coordination.KindSetBudgets
		file, err := c.readScriptFile(argument)
		if err != nil {
			return command, err
		}
		command.Budgets, err = config.ParseBudgets(argument, file)
		return command, err
	case "release":
		command.Kind = coordination.KindStartRollout
		file, err := c.readScriptFile(argument)
		if err != nil {
			return command, err
		}
		plan, err := config.ParseRollout(argument, file)
		command.Plan = &plan
		return command, err
	case "halt", "resume", "back":
		command.Kind = coordination.Kind(action)
	case "drain":
		if zone, ok := strings.CutPrefix(argument, "zone "); ok {
			command.Kind = coordination.KindDrain
			command.Selector = coordination.Selector{Zone: zone, Role: instanceRole}
		} else {
			command.Kind = coordination.KindRequestPermit
			command.Member = membership.Name(argument)
		}
	default:
		return command, fmt.Errorf("no command %q", text)
	}
	return command, nil
}

// readScriptFile reads a file that a script refers to, from the script's directory.
func (c *cluster) readScriptFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(filepath.Dir(c.script.Path), name))
}

// rolloutPhase returns the phase of the rollout as reported by any coordinator. It returns "halted" if rollouts are
// halted, "none" if there is no rollout, and "unknown" if no coordinator answers.
func (c *cluster) rolloutPhase() string {
	coordinators, err := c.coordinatorClient(statusTimeout)
	if err != nil {
		return "unknown"
	}
	response, err := coordinators.Do(client.Request{Status: true})
	switch {
	case err != nil:
		return "unknown"
	case response.Status.Halt != nil:
		return "halted"
	case response.Status.Rollout == nil:
		return "none"
	}
	return string(response.Status.Rollout.Phase)
}

// checkRollout checks the script's requirements on releases: the release that all instances run at the end, and the
// largest fraction of instances that may ever have run the limited release.
func (c *cluster) checkRollout() (metrics []metric, violations []violation) {
	c.disruptions.mu.Lock()
	defer c.disruptions.mu.Unlock()
	maxOut := c.disruptions.maxOut[allProcesses]
	metrics = append(metrics, metric{"out by permits at a time, the most of all", float64(maxOut)})
	addViolation := func(format string, args ...any) {
		violations = append(violations, violation{c.script.LoadDuration, ruleRelease, fmt.Sprintf(format, args...)})
	}
	if release := c.script.FinalRelease; release != "" {
		others := c.countNotOn(release)
		name := "instances that are not on release " + release + " at the end"
		metrics = append(metrics, metric{name, float64(others)})
		if others > 0 {
			addViolation("%d instances are not on release %s at the end", others, release)
		}
	}
	if release := c.script.LimitedRelease; release != "" {
		count := len(c.disruptions.processesByRelease[release])
		metrics = append(metrics, metric{"instances that were ever on release " + release, float64(count)})
		if float64(count) > c.script.MaxLimitedFraction*float64(c.script.Instances) {
			addViolation("%d instances were on release %s, %.0f%% is told", count, release, 100*c.script.MaxLimitedFraction)
		}
	}
	return metrics, violations
}

// countNotOn returns the number of instances that are not running, or run another release.
func (c *cluster) countNotOn(release string) (count int) {
	for _, p := range c.processes[:c.script.Instances] {
		p.mu.Lock()
		if p.release != release || p.exited {
			count++
		}
		p.mu.Unlock()
	}
	return count
}
