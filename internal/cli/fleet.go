package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"lanewheel/internal/config"
	"lanewheel/internal/lifecycle"
)

// Components is what only a program brings that has the fleet's parts linked.
type Components struct {
	FleetHooks     lifecycle.FleetJoiner
	RunProxy       func(operated, format string) error
	RunAllocator   func(operated, format string) error
	ShowMembers    func(f config.Fleet, against []string, asJSON bool, out io.Writer) error
	RunDrill       func(d *config.Drill, record, picture string, out io.Writer) (bad int, err error)
	ShowRecord     func(record, picture string, out io.Writer) error
	CompareRecords func(a, b string, out io.Writer) error
	CoordinatorFuncs
}

var components *Components

// Link says what is linked, before Main.
func Link(parts Components) { components = &parts }

// fleetProgram is the program that has most of it, beside ours, and withStewards the one that has all.
const fleetProgram, coordinatorProgram = "lanewheel-fleet", "lanewheel-coordinator"

// execProgram hands this process over to the sibling, with the same arguments: its number, files and signals stay as they are.
func execProgram(name string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	err = syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ())
	return fmt.Errorf("this needs %s, which is built with lanewheel and stands beside it: %w", name, err)
}

// proxyCommand passes ops on to the instances of its fleet.
type proxyCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI) with the sections [fleet] and [relay]." placeholder:"FILE" type:"path" required:""`
	Log      string `name:"log" help:"Form of the log: text or json. Without it the operator's file says." enum:"text,json," default:""`
}

func (c *proxyCommand) Run() error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	return logStartFailure(components.RunProxy(c.Operator, c.Log))
}

// allocatorCommand stands beside a service below.
type allocatorCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI) with the sections [fleet] and [grants]." placeholder:"FILE" type:"path" required:""`
	Log      string `name:"log" help:"Form of the log: text or json. Without it the operator's file says." enum:"text,json," default:""`
}

func (c *allocatorCommand) Run() error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	return logStartFailure(components.RunAllocator(c.Operator, c.Log))
}

// membersCommand shows how a running process sees its fleet.
type membersCommand struct {
	JSON    bool     `name:"json" help:"Print the whole view as JSON."`
	Against []string `name:"against" help:"Operator's files of further processes on this machine: say how far their views differ." placeholder:"FILE" type:"path"`
	File    string   `arg:"" name:"file" help:"The process's operator's file; its section [fleet] has to name a watch." type:"path"`
}

func (c *membersCommand) Run(o output) error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	var sockets []string
	var shown config.Fleet
	for i, path := range append([]string{c.File}, c.Against...) {
		operatorConfig, err := config.Load(path)
		if err != nil {
			return err
		}
		if !operatorConfig.Fleet.Enabled || operatorConfig.Fleet.StatusSocket == "" {
			return fmt.Errorf("%s: fleet.watch names no socket", path)
		}
		if i == 0 {
			shown = operatorConfig.Fleet
		} else {
			sockets = append(sockets, operatorConfig.Fleet.StatusSocket)
		}
	}
	return components.ShowMembers(shown, sockets, c.JSON, o.out)
}

// drillCommand rehearses failures.
type drillCommand struct {
	RunScript drillRun  `cmd:"" name:"run" default:"withargs" help:"Carry a script out."`
	Show      drillShow `cmd:"" name:"show" help:"Print the table of a record."`
	Diff      drillDiff `cmd:"" name:"diff" help:"Print the figures of two records side by side."`
}

type drillRun struct {
	Check    bool     `name:"check" help:"Only read the script, and print what would be done when."`
	Set      []string `name:"set" help:"A value in place of the script's, as relaying.way=random; may be given several times." placeholder:"SECTION.NAME=VALUE"`
	Seed     *int     `name:"seed" help:"In place of the script's."`
	Size     int      `name:"size" help:"Processes, in place of the script's." default:"0"`
	KeepLogs bool     `name:"keep" help:"Keep what the processes logged, also if all held."`
	Record   string   `name:"record" help:"Write the raw record as Parquet." placeholder:"FILE" type:"path"`
	Picture  string   `name:"picture" help:"Draw it as SVG." placeholder:"FILE" type:"path"`
	Script   string   `arg:"" name:"script" help:"The script, an INI: docs/operating/drills.md names all that may stand in it." type:"path"`
}

func (c *drillRun) Run(o output) error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	drill, err := config.LoadDrill(c.Script, c.Set...)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		drill.RandomSeed = uint64(*c.Seed)
	}
	if c.Size > 0 {
		drill.Instances = c.Size
	}
	drill.KeepLogs = c.KeepLogs
	record, picture := c.Record, c.Picture
	if c.Check {
		record, picture = "check", ""
	}
	violations, err := components.RunDrill(&drill, record, picture, o.out)
	if err == nil && violations > 0 {
		return errors.Join(errReported)
	}
	return err
}

type drillShow struct {
	Picture string `name:"picture" help:"Draw it as SVG." placeholder:"FILE" type:"path"`
	Record  string `arg:"" name:"record" type:"path"`
}

func (c *drillShow) Run(o output) error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	return components.ShowRecord(c.Record, c.Picture, o.out)
}

type drillDiff struct {
	First  string `arg:"" name:"first" type:"path"`
	Second string `arg:"" name:"second" type:"path"`
}

func (c *drillDiff) Run(o output) error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	return components.CompareRecords(c.First, c.Second, o.out)
}
