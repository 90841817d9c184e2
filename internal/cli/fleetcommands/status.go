package fleetcommands

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
)

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
