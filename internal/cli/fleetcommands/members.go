package fleetcommands

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/fleet/gossip"
)

// showMembers prints how a process sees its fleet, and how far others' views are from its.
func showMembers(fleet config.Fleet, sockets []string, asJSON bool, out io.Writer) error {
	snapshot, err := gossip.ReadSnapshot(fleet.StatusSocket, gossip.SnapshotFull)
	if err != nil {
		return fmt.Errorf("nobody answers at %s: %w", fleet.StatusSocket, err)
	}
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(snapshot)
	}
	fmt.Fprintf(out, "%s, incarnation %d, %s, reach %.2f, view %d\n", snapshot.Name, snapshot.Incarnation, snapshot.LocalHealth, snapshot.HeardFraction, snapshot.ViewVersion)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\tincarnation\tstate\twhy\tfor\tspoke\troles\tzone\trelease\tcores\tfacts")
	for _, member := range snapshot.Members {
		var facts []string
		for _, key := range slices.Sorted(maps.Keys(member.Metrics)) {
			facts = append(facts, fmt.Sprintf("%s=%.3g", key, member.Metrics[key]))
		}
		if len(member.StaleMetrics) > 0 {
			facts = append(facts, "too old: "+strings.Join(member.StaleMetrics, " "))
		}
		age := func(ms int64) time.Duration {
			return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%v\t%v\t%s\t%s\t%s\t%g\t%s\n", member.Name, member.Incarnation, member.State, member.Reason, age(member.InStateMillis), age(member.SinceHeartbeatMillis), member.Roles, member.Zone, member.Release,
			member.Capacity, strings.Join(facts, " "))
	}
	table.Flush()
	for _, name := range slices.Sorted(maps.Keys(snapshot.Counters)) {
		fmt.Fprintf(out, "%s %d\n", name, snapshot.Counters[name])
	}
	for _, socket := range sockets {
		other, err := gossip.ReadSnapshot(socket, gossip.SnapshotFull)
		if err != nil {
			fmt.Fprintf(out, "nobody answers at %s: %v\n", socket, err)
			continue
		}
		compareViews(snapshot, other, out)
	}
	return nil
}

// compareViews prints on whom two views differ. Each holds itself to be here, which no view says.
func compareViews(first, second gossip.Snapshot, out io.Writer) {
	states := func(snapshot gossip.Snapshot) map[string]string {
		byName := map[string]string{snapshot.Name: fmt.Sprint("up ", snapshot.Incarnation)}
		for _, member := range snapshot.Members {
			byName[member.Name] = fmt.Sprint(member.State, " ", member.Incarnation)
		}
		return byName
	}
	firstStates, secondStates := states(first), states(second)
	differences := 0
	names := maps.Clone(firstStates)
	maps.Copy(names, secondStates)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if firstStates[name] != secondStates[name] {
			differences++
			fmt.Fprintf(out, "%s: %s holds %q, %s holds %q\n", name, first.Name, firstStates[name], second.Name, secondStates[name])
		}
	}
	fmt.Fprintf(out, "%s and %s differ on %d of %d\n", first.Name, second.Name, differences, len(names))
}
