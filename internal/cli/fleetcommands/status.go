package fleetcommands

import (
	"io"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
)

// printStatus prints the replicated state of the fleet as text.
func printStatus(status *client.Status, out io.Writer) error {
	var printed textBuffer
	printed.printf("%s, term %d, entry %d of the log, led by %s, %d stewards, %d members, fleet's time %s\n", status.ID,
		status.Term, status.AppliedIndex, status.Leader, len(status.Coordinators), status.MemberCount, status.FleetTime)
	if status.Halt != nil {
		printed.printf("HALTED by %s: %s\n", status.Halt.By, status.Halt.Reason)
	}
	if status.Rollout != nil {
		printRollout(&printed, status.Rollout)
	}
	printed.rowf("budget\tof\tmembers\tout\tmay be\tup")
	for _, usage := range status.Budgets {
		printed.rowf("%s\t%v\t%d\t%d\t%d\t%g", usage.Budget.Name, usage.Budget.Selector, usage.Members,
			usage.Unavailable, usage.UnavailableLimit, usage.AvailableCapacity)
	}
	printed.rowf("permit\tmember\tfor\tby\tstage\twaits for")
	for _, permit := range status.Permits {
		printed.rowf("%d\t%s\t%s\t%s\t%s\t%s", permit.ID, permit.Member, permit.Purpose, permit.RequestedBy,
			permit.Stage, permit.WaitReason)
	}
	printed.rowf("out\twhy\tsince\trelease\tzone")
	for _, member := range status.Unavailable {
		if member.State != coordination.MemberUp {
			printed.rowf("%s\t%s\t%v\t%s\t%s", member.Name, member.State, member.StateSince.Round(time.Second),
				member.Release, member.Zone)
		}
	}
	return printed.writeTo(out)
}

func printRollout(printed *textBuffer, rollout *coordination.Rollout) {
	printed.printf("release %s to %s by %s: %s, wave %d of %d", rollout.Name, rollout.TargetRelease,
		rollout.RequestedBy, rollout.Phase, rollout.Wave+1, len(rollout.WaveMembers))
	if rollout.WaitReason != "" {
		printed.printf(", waits: %s", rollout.WaitReason)
	}
	if rollout.Reason != "" {
		printed.printf(", why: %s", rollout.Reason)
	}
	printed.printf("\n")
}
