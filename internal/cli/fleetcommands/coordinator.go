package fleetcommands

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"lanewheel/internal/cli"
	"lanewheel/internal/config"
	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/lifecycle"
)

// coordinatorTimeout limits how long a client searches for the leader.
const coordinatorTimeout = 20 * time.Second

// errNoDrainTarget is returned for a drain that specifies no target.
var errNoDrainTarget = errors.New("a member, --zone or --upstream is required")

// runCoordinatorCommand sends a request to the coordinators and prints the response. It returns a client.RemoteError if
// they reject it.
func runCoordinatorCommand(arguments cli.CoordinatorCommand, out io.Writer) error {
	coordinators, err := newCoordinatorClient(arguments.File)
	if err != nil {
		return err
	}
	switch arguments.Action {
	case cli.ActionStatus:
		return showStatus(coordinators, arguments, out)
	case cli.ActionHistory:
		return showHistory(coordinators, arguments, out)
	case cli.ActionLeave:
		response, err := coordinators.Do(client.Request{RemoveCoordinator: arguments.Name})
		if err != nil {
			return err
		}
		return response.Err()
	}
	return proposeCommand(coordinators, arguments, out)
}

// newCoordinatorClient returns a client that uses the coordinators and the cluster keys named in an operator's file.
func newCoordinatorClient(path string) (client.Client, error) {
	operatorConfig, err := lifecycle.LoadOperatorConfig(path)
	if err != nil {
		return client.Client{}, err
	}
	operatorConfig.File.Renamed.Warn()
	section := operatorConfig.File.Coordinator
	if !section.Enabled || len(operatorConfig.ClusterKeys) == 0 {
		return client.Client{}, fmt.Errorf("%s: the sections [fleet], with keys, and [coordinator] are required", path)
	}
	return client.Client{
		Coordinators: section.Config.Coordinators,
		Keys:         operatorConfig.ClusterKeys,
		Timeout:      coordinatorTimeout,
	}, nil
}

func showStatus(coordinators client.Client, arguments cli.CoordinatorCommand, out io.Writer) error {
	response, err := coordinators.Do(client.Request{Status: true})
	if err != nil {
		return err
	}
	if arguments.JSON {
		return printJSON(out, response.Status)
	}
	return printStatus(response.Status, out)
}

func showHistory(coordinators client.Client, arguments cli.CoordinatorCommand, out io.Writer) error {
	response, err := coordinators.Do(client.Request{History: true})
	switch {
	case err != nil:
		return err
	case arguments.Path != "":
		return exportHistory(response.History, arguments.Path)
	case arguments.JSON:
		return printJSON(out, response.History)
	}
	return printHistory(response.History, out)
}

// proposeCommand submits a command to the coordinators and prints the action and its permits once they have agreed. For
// a drain with Wait set, it then waits for the permits.
func proposeCommand(coordinators client.Client, arguments cli.CoordinatorCommand, out io.Writer) error {
	command, err := buildCommand(arguments)
	if err != nil {
		return err
	}
	if command.IdempotencyKey, err = newIdempotencyKey(); err != nil {
		return err
	}
	response, err := coordinators.Do(client.Request{Command: &command})
	if err != nil {
		return err
	}
	if err := response.Err(); err != nil {
		return err
	}
	if !response.Reply.OK {
		return client.RemoteError(response.Reply.Reason)
	}
	permits := response.Reply.PermitIDs
	if response.Reply.PermitID > 0 {
		permits = append(permits, response.Reply.PermitID)
	}
	if _, err := fmt.Fprintln(out, "agreed", arguments.Action, permits); err != nil {
		return err
	}
	if arguments.Action == cli.ActionDrain && arguments.Wait {
		return waitForPermits(coordinators, permits, out)
	}
	return nil
}

// newIdempotencyKey returns a random key for a command. Retries of the command send the same key, so that no second
// permit is created when a coordinator fails after agreeing on the command and before responding.
func newIdempotencyKey() (string, error) {
	var key [8]byte
	if _, err := rand.Read(key[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(key[:]), nil
}

// buildCommand returns the command for an operator's action. For an unknown action it returns a command without a kind,
// which the coordinators reject.
func buildCommand(arguments cli.CoordinatorCommand) (coordination.Command, error) {
	command := coordination.Command{RequestedBy: arguments.RequestedBy, Reason: arguments.Reason}
	switch arguments.Action {
	case cli.ActionDrain, cli.ActionUndrain:
		return buildDrain(command, arguments)
	case cli.ActionForget:
		command.Kind = coordination.KindForgetMember
		command.Member = coordination.Name(arguments.Name)
	case cli.ActionHalt:
		command.Kind = coordination.KindHalt
	case cli.ActionResume:
		command.Kind = coordination.KindResume
	case cli.ActionRollback:
		command.Kind = coordination.KindRollBack
	case cli.ActionBudgets:
		content, err := os.ReadFile(arguments.Path)
		if err != nil {
			return command, err
		}
		command.Kind = coordination.KindSetBudgets
		command.Budgets, err = config.ParseBudgets(arguments.Path, content)
		return command, err
	case cli.ActionRelease:
		content, err := os.ReadFile(arguments.Path)
		if err != nil {
			return command, err
		}
		plan, err := config.ParseRollout(arguments.Path, content)
		command.Kind = coordination.KindStartRollout
		command.Plan = &plan
		return command, err
	}
	return command, nil
}

// buildDrain completes a command that requests permits to drain or cancels these requests. It applies to one member, to
// all members of a zone or to the allocators of an upstream service. Without any of them it returns errNoDrainTarget.
func buildDrain(command coordination.Command, arguments cli.CoordinatorCommand) (coordination.Command, error) {
	if arguments.Name == "" && arguments.Zone == "" && arguments.Upstream == "" {
		return command, errNoDrainTarget
	}
	command.Selector = coordination.Selector{Zone: arguments.Zone, Upstream: arguments.Upstream}
	command.Member = coordination.Name(arguments.Name)
	command.Reason = string(coordination.PurposeDrain)
	switch {
	case arguments.Action == cli.ActionUndrain:
		command.Kind = coordination.KindCancelDrain
	case arguments.Name != "":
		command.Kind = coordination.KindRequestPermit
	default:
		command.Kind = coordination.KindDrain
	}
	return command, nil
}
