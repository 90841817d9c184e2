package fleetcommands

import (
	"fmt"
	"io"
	"slices"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
)

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
