package fleetcommands

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
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

// runCoordinatorCommand asks the stewards, and prints what they say.
func runCoordinatorCommand(arguments cli.CoordinatorCommand, out io.Writer) error {
	operatorConfig, err := lifecycle.LoadOperatorConfig(arguments.File)
	if err != nil {
		return err
	}
	if !operatorConfig.File.Coordinator.Enabled || len(operatorConfig.ClusterKeys) == 0 {
		return fmt.Errorf("%s: wants the sections [fleet], with keys, and [steward]", arguments.File)
	}
	coordinators := client.Client{Coordinators: operatorConfig.File.Coordinator.Config.Coordinators, Keys: operatorConfig.ClusterKeys, Timeout: 20 * time.Second}
	printJSON := func(value any) error {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	switch arguments.Action {
	case "status":
		answer, err := coordinators.Do(client.Request{Status: true})
		if err != nil {
			return err
		}
		if arguments.JSON {
			return printJSON(answer.Status)
		}
		return printStatus(answer.Status, out)
	case "history":
		answer, err := coordinators.Do(client.Request{History: true})
		if err != nil {
			return err
		}
		switch {
		case arguments.Path != "":
			return exportHistory(answer.History, arguments.Path)
		case arguments.JSON:
			return printJSON(answer.History)
		}
		printHistory(answer.History, out)
		return nil
	case "leave":
		answer, err := coordinators.Do(client.Request{RemoveCoordinator: arguments.Name})
		if err == nil && answer.Error != "" {
			err = errors.New(answer.Error)
		}
		return err
	}
	command, err := buildCommand(arguments)
	if err != nil {
		return err
	}
	// The same key however often it is asked: a steward that fails between agreeing and answering leaves no second permit behind.
	var key [8]byte
	if _, err := rand.Read(key[:]); err != nil {
		return err
	}
	command.IdempotencyKey = hex.EncodeToString(key[:])
	answer, err := coordinators.Do(client.Request{Command: &command})
	switch {
	case err != nil:
		return err
	case answer.Error != "":
		return errors.New(answer.Error)
	case !answer.Reply.OK:
		return errors.New(answer.Reply.Reason)
	}
	permits := answer.Reply.PermitIDs
	if answer.Reply.PermitID > 0 {
		permits = append(permits, answer.Reply.PermitID)
	}
	fmt.Fprintln(out, "agreed", arguments.Action, permits)
	if arguments.Action == "drain" && arguments.Wait {
		return waitForPermits(coordinators, permits, out)
	}
	return nil
}

// buildCommand is the command that an operator means.
func buildCommand(arguments cli.CoordinatorCommand) (command coordination.Command, err error) {
	command = coordination.Command{RequestedBy: arguments.RequestedBy, Reason: arguments.Reason}
	readFile := func() []byte {
		content, readErr := os.ReadFile(arguments.Path)
		err = errors.Join(err, readErr)
		return content
	}
	switch arguments.Action {
	case "drain", "undrain":
		command.Kind, command.Selector, command.Reason = coordination.KindDrain, coordination.Selector{Zone: arguments.Zone, Upstream: arguments.Upstream}, "drain"
		if arguments.Action == "undrain" {
			command.Kind = coordination.KindCancelDrain
		}
		if arguments.Name != "" {
			command.Member = coordination.Name(arguments.Name)
			if arguments.Action == "drain" {
				command.Kind = coordination.KindRequestPermit
			}
		}
		if arguments.Name == "" && arguments.Zone == "" && arguments.Upstream == "" {
			err = errors.New("wants a member, --zone or --below")
		}
	case "forget":
		command.Kind, command.Member = coordination.KindForgetMember, coordination.Name(arguments.Name)
	case "halt":
		command.Kind = coordination.KindHalt
	case "resume":
		command.Kind = coordination.KindResume
	case "back":
		command.Kind = coordination.KindRollBack
	case "budgets":
		command.Kind = coordination.KindSetBudgets
		content := readFile()
		if err == nil {
			command.Budgets, err = config.ParseBudgets(arguments.Path, content)
		}
	case "release":
		command.Kind = coordination.KindStartRollout
		content := readFile()
		if err == nil {
			var plan coordination.RolloutPlan
			plan, err = config.ParseRollout(arguments.Path, content)
			command.Plan = &plan
		}
	}
	return command, err
}
