package fleetcommands

import (
	"fmt"
	"io"
	"os"

	"lanewheel/internal/config"
	"lanewheel/internal/drill"
)

// runDrill carries a script out; with "check" in place of a record it only says what it would do.
func runDrill(script *config.Drill, record, picture string, out io.Writer) (violations int, err error) {
	if record == "check" {
		for _, event := range drill.Timeline(script) {
			fmt.Fprintln(out, event)
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
		fmt.Fprintln(out, "all held")
	} else {
		fmt.Fprintf(out, "%d did not hold, seed %d\n", violations, script.RandomSeed)
	}
	if picture != "" {
		err = result.Draw(picture)
	}
	return violations, err
}

func showRecord(record, picture string, out io.Writer) error {
	loaded, err := drill.LoadRecord(record)
	if err != nil {
		return err
	}
	loaded.WriteTable(out)
	if picture != "" {
		return loaded.Draw(picture)
	}
	return nil
}

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
