package fleetcommands

import (
	"fmt"
	"io"
	"slices"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
)

// permitPollInterval is the interval at which waitForPermits requests the state of the permits.
const permitPollInterval = 500 * time.Millisecond

// waitForPermits prints the progress of permits until each permit has ended, or has begun and its member is gone. It
// returns an error as soon as a request to the coordinators fails.
func waitForPermits(coordinators client.Client, permits []coordination.PermitID, out io.Writer) error {
	reported := map[coordination.PermitID]string{}
	for {
		response, err := coordinators.Do(client.Request{Status: true})
		if err != nil {
			return err
		}
		pending := 0
		for _, permit := range response.Status.Permits {
			if !slices.Contains(permits, permit.ID) {
				continue
			}
			progress := progressOf(permit, response.Status)
			if !progress.isOut {
				pending++
			}
			if reported[permit.ID] == progress.text {
				continue
			}
			reported[permit.ID] = progress.text
			_, err := fmt.Fprintf(out, "%s permit %d of %s: %s\n",
				time.Now().Format(time.TimeOnly), permit.ID, permit.Member, progress.text)
			if err != nil {
				return err
			}
		}
		if pending == 0 {
			return nil
		}
		time.Sleep(permitPollInterval)
	}
}

// permitProgress is the progress of a permit.
type permitProgress struct {
	text  string // human-readable
	isOut bool   // the permit has begun and its member is gone
}

// progressOf returns the progress of a permit according to a status of the coordinators.
func progressOf(permit coordination.Permit, status *client.Status) permitProgress {
	isGone := slices.ContainsFunc(status.Unavailable, func(member coordination.Member) bool {
		return member.Name == permit.Member && member.State == coordination.MemberGone
	})
	switch {
	case isGone:
		return permitProgress{text: "out", isOut: permit.Stage == coordination.PermitBegun}
	case permit.Stage == coordination.PermitQueued && permit.WaitReason != "":
		return permitProgress{text: string(permit.Stage) + ": " + permit.WaitReason}
	}
	return permitProgress{text: string(permit.Stage)}
}
