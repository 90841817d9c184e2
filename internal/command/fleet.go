package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"lanewheel/internal/life"
	"lanewheel/internal/operator"
)

// Parts is what only a program brings that has the fleet's parts linked.
type Parts struct {
	Joins   life.FleetJoiner
	Relay   func(operated, format string) error
	Desk    func(operated, format string) error
	Members func(f operator.Fleet, against []string, asJSON bool, out io.Writer) error
	Drill   func(d *operator.Drill, record, picture string, out io.Writer) (bad int, err error)
	Show    func(record, picture string, out io.Writer) error
	Differ  func(a, b string, out io.Writer) error
	Agreeing
}

var linked *Parts

// Link says what is linked, before Main.
func Link(p Parts) {
	linked = &p
	life.JoinFleet = p.Joins
}

// sibling is the program that has most of it, beside ours, and withStewards the one that has all.
const sibling, withStewards = "lanewheel-fleet", "lanewheel-steward"

// over hands this process over to the sibling, with the same arguments: its number, files and signals stay as they are.
func over(name string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	err = syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ())
	return fmt.Errorf("this needs %s, which is built with lanewheel and stands beside it: %w", name, err)
}

// relayCommand passes ops on to the instances of its fleet.
type relayCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI) with the sections [fleet] and [relay]." placeholder:"FILE" type:"path" required:""`
	Log      string `name:"log" help:"Form of the log: text or json. Without it the operator's file says." enum:"text,json," default:""`
}

func (c *relayCommand) Run() error {
	if linked == nil {
		return over(sibling)
	}
	return started(linked.Relay(c.Operator, c.Log))
}

// deskCommand stands beside a service below.
type deskCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI) with the sections [fleet] and [grants]." placeholder:"FILE" type:"path" required:""`
	Log      string `name:"log" help:"Form of the log: text or json. Without it the operator's file says." enum:"text,json," default:""`
}

func (c *deskCommand) Run() error {
	if linked == nil {
		return over(sibling)
	}
	return started(linked.Desk(c.Operator, c.Log))
}

// membersCommand shows how a running process sees its fleet.
type membersCommand struct {
	JSON    bool     `name:"json" help:"Print the whole view as JSON."`
	Against []string `name:"against" help:"Operator's files of further processes on this machine: say how far their views differ." placeholder:"FILE" type:"path"`
	File    string   `arg:"" name:"file" help:"The process's operator's file; its section [fleet] has to name a watch." type:"path"`
}

func (c *membersCommand) Run(o output) error {
	if linked == nil {
		return over(sibling)
	}
	var sockets []string
	var first operator.Fleet
	for i, path := range append([]string{c.File}, c.Against...) {
		f, err := operator.Load(path)
		if err != nil {
			return err
		}
		if !f.Fleet.Enabled || f.Fleet.StatusSocket == "" {
			return fmt.Errorf("%s: fleet.watch names no socket", path)
		}
		if i == 0 {
			first = f.Fleet
		} else {
			sockets = append(sockets, f.Fleet.StatusSocket)
		}
	}
	return linked.Members(first, sockets, c.JSON, o.out)
}

// drillCommand rehearses failures.
type drillCommand struct {
	Run_ drillRun    `cmd:"" name:"run" default:"withargs" help:"Carry a script out."`
	Show drillShow   `cmd:"" name:"show" help:"Print the table of a record."`
	Diff drillDiffer `cmd:"" name:"diff" help:"Print the figures of two records side by side."`
}

type drillRun struct {
	Check   bool     `name:"check" help:"Only read the script, and print what would be done when."`
	Set     []string `name:"set" help:"A value in place of the script's, as relaying.way=random; may be given several times." placeholder:"SECTION.NAME=VALUE"`
	Seed    *int     `name:"seed" help:"In place of the script's."`
	Size    int      `name:"size" help:"Processes, in place of the script's." default:"0"`
	Keep    bool     `name:"keep" help:"Keep what the processes logged, also if all held."`
	Record  string   `name:"record" help:"Write the raw record as Parquet." placeholder:"FILE" type:"path"`
	Picture string   `name:"picture" help:"Draw it as SVG." placeholder:"FILE" type:"path"`
	Script  string   `arg:"" name:"script" help:"The script, an INI: docs/operating/drills.md names all that may stand in it." type:"path"`
}

func (c *drillRun) Run(o output) error {
	if linked == nil {
		return over(sibling)
	}
	d, err := operator.LoadDrill(c.Script, c.Set...)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		d.RandomSeed = uint64(*c.Seed)
	}
	if c.Size > 0 {
		d.Instances = c.Size
	}
	d.KeepLogs = c.Keep
	record, picture := c.Record, c.Picture
	if c.Check {
		record, picture = "check", ""
	}
	bad, err := linked.Drill(&d, record, picture, o.out)
	if err == nil && bad > 0 {
		return errors.Join(errSaid)
	}
	return err
}

type drillShow struct {
	Picture string `name:"picture" help:"Draw it as SVG." placeholder:"FILE" type:"path"`
	Record  string `arg:"" name:"record" type:"path"`
}

func (c *drillShow) Run(o output) error {
	if linked == nil {
		return over(sibling)
	}
	return linked.Show(c.Record, c.Picture, o.out)
}

type drillDiffer struct {
	First  string `arg:"" name:"first" type:"path"`
	Second string `arg:"" name:"second" type:"path"`
}

func (c *drillDiffer) Run(o output) error {
	if linked == nil {
		return over(sibling)
	}
	return linked.Differ(c.First, c.Second, o.out)
}
