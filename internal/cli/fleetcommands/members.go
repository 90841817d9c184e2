package fleetcommands

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/fleet/gossip"
)

// showMembers prints a process's view of its fleet and how it differs from the views of the processes at other status
// sockets.
func showMembers(fleet config.Fleet, sockets []string, asJSON bool, out io.Writer) error {
	snapshot, err := gossip.ReadSnapshot(fleet.StatusSocket, gossip.SnapshotFull)
	if err != nil {
		return fmt.Errorf("no process answers at %s: %w", fleet.StatusSocket, err)
	}
	if asJSON {
		return printJSON(out, snapshot)
	}
	var printed textBuffer
	printSnapshot(&printed, snapshot)
	for _, socket := range sockets {
		other, err := gossip.ReadSnapshot(socket, gossip.SnapshotFull)
		if err != nil {
			printed.printf("no process answers at %s: %v\n", socket, err)
			continue
		}
		compareViews(&printed, snapshot, other)
	}
	return printed.writeTo(out)
}

func printSnapshot(printed *textBuffer, snapshot gossip.Snapshot) {
	printed.printf("%s, incarnation %d, %s, reach %.2f, view %d\n", snapshot.Name, snapshot.Incarnation,
		snapshot.LocalHealth, snapshot.HeardFraction, snapshot.ViewVersion)
	printed.rowf("member\tincarnation\tstate\twhy\tfor\tspoke\troles\tzone\trelease\tcores\tfacts")
	for _, member := range snapshot.Members {
		printed.rowf("%s\t%d\t%s\t%s\t%v\t%v\t%s\t%s\t%s\t%g\t%s", member.Name, member.Incarnation, member.State,
			member.Reason, roundedAge(member.InStateMillis), roundedAge(member.SinceHeartbeatMillis), member.Roles,
			member.Zone, member.Release, member.Capacity, metricsText(member))
	}
	for _, name := range slices.Sorted(maps.Keys(snapshot.Counters)) {
		printed.printf("%s %d\n", name, snapshot.Counters[name])
	}
}

// roundedAge converts milliseconds to a duration, rounded to 100 ms for a table.
func roundedAge(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

// metricsText returns the metrics of a member as one line, followed by the names of the stale ones.
func metricsText(member gossip.MemberSnapshot) string {
	var terms []string
	for _, name := range slices.Sorted(maps.Keys(member.Metrics)) {
		terms = append(terms, fmt.Sprintf("%s=%.3g", name, member.Metrics[name]))
	}
	if len(member.StaleMetrics) > 0 {
		terms = append(terms, "too old: "+strings.Join(member.StaleMetrics, " "))
	}
	return strings.Join(terms, " ")
}

// compareViews prints the members on which two views differ. A view does not contain its own process, which is assumed
// to be up.
func compareViews(printed *textBuffer, first, second gossip.Snapshot) {
	states := func(snapshot gossip.Snapshot) map[string]string {
		byName := map[string]string{snapshot.Name: fmt.Sprint("up ", snapshot.Incarnation)}
		for _, member := range snapshot.Members {
			byName[member.Name] = fmt.Sprint(member.State, " ", member.Incarnation)
		}
		return byName
	}
	firstStates, secondStates := states(first), states(second)
	names := maps.Clone(firstStates)
	maps.Copy(names, secondStates)
	differences := 0
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if firstStates[name] == secondStates[name] {
			continue
		}
		differences++
		printed.printf("%s: %s holds %q, %s holds %q\n",
			name, first.Name, firstStates[name], second.Name, secondStates[name])
	}
	printed.printf("%s and %s differ on %d of %d\n", first.Name, second.Name, differences, len(names))
}
