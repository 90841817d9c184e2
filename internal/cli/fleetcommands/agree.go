package fleetcommands

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/parquet-go/parquet-go"

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

// waitForPermits says how permits go until all have begun and their members are out, or are over.
func waitForPermits(coordinators client.Client, permits []coordination.PermitID, out io.Writer) error {
	reported := map[coordination.PermitID]string{}
	for {
		answer, err := coordinators.Do(client.Request{Status: true})
		if err != nil {
			return err
		}
		pending := 0
		for _, permit := range answer.Status.Permits {
			if !slices.Contains(permits, permit.ID) {
				continue
			}
			text := string(permit.Stage)
			if permit.WaitReason != "" && permit.Stage == coordination.PermitQueued {
				text += ": " + permit.WaitReason
			}
			isOut := false
			for _, member := range answer.Status.Unavailable {
				if member.Name == permit.Member && member.State == coordination.MemberGone {
					text, isOut = "out", permit.Stage == coordination.PermitBegun
				}
			}
			if !isOut {
				pending++
			}
			if reported[permit.ID] != text {
				reported[permit.ID] = text
				fmt.Fprintf(out, "%s permit %d of %s: %s\n", time.Now().Format(time.TimeOnly), permit.ID, permit.Member, text)
			}
		}
		if pending == 0 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func printStatus(status *client.Status, out io.Writer) error {
	fmt.Fprintf(out, "%s, term %d, entry %d of the log, led by %s, %d stewards, %d members, fleet's time %s\n", status.ID, status.Term, status.AppliedIndex, status.Leader, len(status.Coordinators), status.MemberCount, status.FleetTime)
	if status.Halt != nil {
		fmt.Fprintf(out, "HALTED by %s: %s\n", status.Halt.By, status.Halt.Reason)
	}
	if rollout := status.Rollout; rollout != nil {
		fmt.Fprintf(out, "release %s to %s by %s: %s, wave %d of %d", rollout.Name, rollout.TargetRelease, rollout.RequestedBy, rollout.Phase, rollout.Wave+1, len(rollout.WaveMembers))
		if rollout.WaitReason != "" {
			fmt.Fprintf(out, ", waits: %s", rollout.WaitReason)
		}
		if rollout.Reason != "" {
			fmt.Fprintf(out, ", why: %s", rollout.Reason)
		}
		fmt.Fprintln(out)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "budget\tof\tmembers\tout\tmay be\tup")
	for _, use := range status.Budgets {
		fmt.Fprintf(table, "%s\t%v\t%d\t%d\t%d\t%g\n", use.Budget.Name, use.Budget.Selector, use.Members, use.Unavailable, use.UnavailableLimit, use.AvailableCapacity)
	}
	fmt.Fprintln(table, "permit\tmember\tfor\tby\tstage\twaits for")
	for _, permit := range status.Permits {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", permit.ID, permit.Member, permit.Purpose, permit.RequestedBy, permit.Stage, permit.WaitReason)
	}
	fmt.Fprintln(table, "out\twhy\tsince\trelease\tzone")
	for _, member := range status.Unavailable {
		if member.State != coordination.MemberUp {
			fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%s\n", member.Name, member.State, member.StateSince.Round(time.Second), member.Release, member.Zone)
		}
	}
	return table.Flush()
}

func printHistory(entries []coordination.HistoryEntry, out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nth\tat\tby\tdid\twhat\tcame to")
	for _, entry := range entries {
		outcome := "agreed"
		if !entry.OK {
			outcome = "refused"
		}
		if entry.Reason != "" {
			outcome += ": " + entry.Reason
		}
		fmt.Fprintf(table, "%d\t%v\t%s\t%s\t%s\t%s\n", entry.Sequence, entry.At.Round(time.Millisecond), entry.RequestedBy, entry.Kind, entry.Summary, outcome)
	}
	table.Flush()
}

// historyRow is one command of the history, as it is exported.
type historyRow struct {
	Nth    int64  `parquet:"nth"`
	AtMS   int64  `parquet:"at_ms"`
	By     string `parquet:"by,dict"`
	Do     string `parquet:"do,dict"`
	What   string `parquet:"what"`
	Agreed bool   `parquet:"agreed"`
	Why    string `parquet:"why"`
	Number int64  `parquet:"number"`
}

// schema names the root of the exported history's Parquet schema, which would follow the name of the Go type.
var schema = parquet.NewSchema("line", parquet.SchemaOf(historyRow{}))

func exportHistory(entries []coordination.HistoryEntry, path string) error {
	var rows []historyRow
	for _, entry := range entries {
		rows = append(rows, historyRow{int64(entry.Sequence), entry.At.Milliseconds(), entry.RequestedBy, string(entry.Kind), entry.Summary, entry.OK, entry.Reason, int64(entry.PermitID)})
	}
	return parquet.WriteFile(path, rows, schema)
}
