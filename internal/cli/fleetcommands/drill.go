package fleetcommands

import (
	"fmt"
	"io"
	"os"

	"lanewheel/internal/config"
	"lanewheel/internal/drill"
)

// checkOnlyRecord is passed in place of a record's path to print the timeline of a drill without running it.
const checkOnlyRecord = "check"

// runDrill runs a script and returns the number of violations. The record and the picture are written if their paths
// are not empty. An error in printing the results is ignored, so that the violations of a completed drill are returned.
func runDrill(script *config.Drill, record, picture string, out io.Writer) (violations int, err error) {
	if record == checkOnlyRecord {
		for _, event := range drill.Timeline(script) {
			if _, err := fmt.Fprintln(out, event); err != nil {
				return 0, err
			}
		}
		return 0, nil
	}
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	result, err := drill.Run(script, self, out)
	if err != nil {
		return 0, err
	}
	if record != "" {
		if err := result.Save(record); err != nil {
			return 0, err
		}
	}
	result.WriteTable(out)
	for _, row := range result {
		if row.Kind == "violation" {
			violations++
		}
	}
	if violations == 0 {
		_, _ = fmt.Fprintln(out, "all held")
	} else {
		_, _ = fmt.Fprintf(out, "%d did not hold, seed %d\n", violations, script.RandomSeed)
	}
	if picture != "" {
		err = result.Draw(picture)
	}
	return violations, err
}

// showRecord prints a drill's record and draws it if the path of the picture is not empty.
func showRecord(record, picture string, out io.Writer) error {
	loaded, err := drill.LoadRecord(record)
	if err != nil {
		return err
	}
	loaded.WriteTable(out)
	if picture == "" {
		return nil
	}
	return loaded.Draw(picture)
}

// compareRecords prints the figures of two drill records side by side, with the change of each.
func compareRecords(first, second string, out io.Writer) error {
	firstRecord, err := drill.LoadRecord(first)
	if err != nil {
		return err
	}
	secondRecord, err := drill.LoadRecord(second)
	if err != nil {
		return err
	}
	drill.Compare(out, firstRecord, secondRecord)
	return nil
}
