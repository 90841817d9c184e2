package cli

import "lanewheel/internal/config"

// drillCommand runs game-day drills and prints their records.
type drillCommand struct {
	RunScript drillRun  `cmd:"" name:"run" default:"withargs" help:"Run a drill script."`
	Show      drillShow `cmd:"" name:"show" help:"Print the table of a drill's record."`
	Diff      drillDiff `cmd:"" name:"diff" help:"Print the figures of two drill records side by side."`
}

type drillRun struct {
	Check    bool     `name:"check" help:"${help_drill_check}"`
	Set      []string `name:"set" help:"${help_drill_set}" placeholder:"SECTION.NAME=VALUE"`
	Seed     *int     `name:"seed" help:"Random seed, in place of the script's."`
	Size     int      `name:"size" help:"Number of instances, in place of the script's." default:"0"`
	KeepLogs bool     `name:"keep" help:"Keep the logs of the processes even if every invariant held."`
	Record   string   `name:"record" help:"Write the raw record as Parquet." placeholder:"FILE" type:"path"`
	Picture  string   `name:"picture" help:"Draw the record as SVG." placeholder:"FILE" type:"path"`
	Script   string   `arg:"" name:"script" help:"${help_drill_script}" type:"path"`
}

// checkOnlyRecord is passed to RunDrill in place of a record's path to print the timeline without running the drill.
const checkOnlyRecord = "check"

func (c *drillRun) Run(o output) error {
	return runWithComponents(func(linked *Components) error {
		script, err := config.LoadDrill(c.Script, c.Set...)
		if err != nil {
			return err
		}
		if c.Seed != nil {
			script.RandomSeed = uint64(*c.Seed)
		}
		if c.Size > 0 {
			script.Instances = c.Size
		}
		script.KeepLogs = c.KeepLogs
		record, picture := c.Record, c.Picture
		if c.Check {
			record, picture = checkOnlyRecord, ""
		}
		violations, err := linked.RunDrill(&script, record, picture, o.out)
		if err == nil && violations > 0 {
			return errReported
		}
		return err
	})
}

type drillShow struct {
	Picture string `name:"picture" help:"Draw the record as SVG." placeholder:"FILE" type:"path"`
	Record  string `arg:"" name:"record" type:"path"`
}

func (c *drillShow) Run(o output) error {
	return runWithComponents(func(linked *Components) error {
		return linked.ShowRecord(c.Record, c.Picture, o.out)
	})
}

type drillDiff struct {
	First  string `arg:"" name:"first" type:"path"`
	Second string `arg:"" name:"second" type:"path"`
}

func (c *drillDiff) Run(o output) error {
	return runWithComponents(func(linked *Components) error {
		return linked.CompareRecords(c.First, c.Second, o.out)
	})
}

// drillHookCommand asks a running drill to restart a member. A drill configures it as the restart command of its
// coordinators.
type drillHookCommand struct {
	Socket  string `arg:"" name:"socket"`
	Name    string `arg:"" name:"name"`
	Release string `arg:"" name:"release" optional:""`
}

func (c *drillHookCommand) Run(o output) error {
	return runWithComponents(func(linked *Components) error {
		return linked.RunDrillHook(c.Socket, c.Name, c.Release, o.out)
	})
}
