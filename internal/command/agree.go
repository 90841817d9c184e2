package command

import "io"

// Agree is what an operator asks the stewards.
type Agree struct {
	File   string // the operator's file with the section [steward], or [fleet] and the stewards' addresses in it
	Do     string // status, history, drain, undrain, forget, halt, resume, budgets, release, back, leave
	Name   string
	Zone   string
	Below  string
	Path   string // of budgets, a release, or where history goes
	Why    string
	By     string
	JSON   bool
	Wait   bool
	Number uint64
}

// asking is what all of these commands take.
type asking struct {
	Operator string `name:"operator" help:"Operator's file (INI) whose section [steward] names the stewards and whose [fleet] the keys." placeholder:"FILE" type:"path" required:""`
	By       string `name:"by" help:"Who gives the command, as the history is to have it." default:"${user}"`
}

func (a asking) ask(o output, g Agree) error {
	if linked == nil {
		return over(sibling)
	}
	g.File, g.By = a.Operator, a.By
	return linked.Agree(g, o.out)
}

// stewardCommand is one of those that hold what the fleet has agreed.
type stewardCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI) with the sections [fleet] and [steward]." placeholder:"FILE" type:"path" required:""`
	Begin    bool   `name:"begin" help:"Begin a new fleet: once, on one steward. Where there is a state already it changes nothing."`
	Alone    bool   `name:"alone" help:"The other stewards are lost for good, with their disks: go on from this one's state, and take others in anew."`
	Log      string `name:"log" help:"Form of the log: text or json. Without it the operator's file says." enum:"text,json," default:""`
}

func (c *stewardCommand) Run() error {
	if linked == nil || linked.Steward == nil {
		return over(withStewards)
	}
	return started(linked.Steward(c.Operator, c.Log, c.Begin, c.Alone))
}

// drainCommand asks for leave to go out, and waits for it.
type drainCommand struct {
	asking
	Name  string `arg:"" name:"name" optional:"" help:"A member."`
	Zone  string `name:"zone" help:"All that are up in a zone, one after the other as the budgets let them."`
	Below string `name:"below" help:"The desk beside a service below, so that the service can be taken out."`
	Drop  bool   `name:"drop" help:"Take back what has been asked for and has not begun."`
	Wait  bool   `name:"wait" help:"Say how it goes until all are out." default:"true" negatable:""`
}

func (c *drainCommand) Run(o output) error {
	do := "drain"
	if c.Drop {
		do = "undrain"
	}
	return c.ask(o, Agree{Do: do, Name: c.Name, Zone: c.Zone, Below: c.Below, Wait: c.Wait && !c.Drop})
}

// releaseCommand brings a release out in waves.
type releaseCommand struct {
	Start  releaseStart  `cmd:"" name:"start" help:"Start one."`
	Status releaseStatus `cmd:"" name:"status" help:"How far it is, and what it waits for."`
	Halt   releaseHalt   `cmd:"" name:"halt" help:"Nothing further begins, anywhere."`
	Resume releaseResume `cmd:"" name:"resume" help:"Go on."`
	Back   releaseBack   `cmd:"" name:"back" help:"The way back: waves in reverse, under the same budgets."`
}

type releaseStart struct {
	asking
	File string `arg:"" name:"file" help:"An INI with a section [release]: docs/operating/releases.md names all that may stand in it." type:"path"`
}

func (c *releaseStart) Run(o output) error { return c.ask(o, Agree{Do: "release", Path: c.File}) }

type releaseStatus struct {
	asking
	JSON bool `name:"json"`
}

func (c *releaseStatus) Run(o output) error { return c.ask(o, Agree{Do: "status", JSON: c.JSON}) }

type releaseHalt struct {
	asking
	Why string `arg:"" name:"why" optional:"" help:"Why, for the history."`
}

func (c *releaseHalt) Run(o output) error { return c.ask(o, Agree{Do: "halt", Why: c.Why}) }

type releaseResume struct{ asking }

func (c *releaseResume) Run(o output) error { return c.ask(o, Agree{Do: "resume"}) }

type releaseBack struct {
	asking
	Why string `arg:"" name:"why" optional:"" help:"Why, for the history."`
}

func (c *releaseBack) Run(o output) error { return c.ask(o, Agree{Do: "back", Why: c.Why}) }

// fleetCommand shows and changes what is agreed.
type fleetCommand struct {
	Status  releaseStatus `cmd:"" name:"status" help:"Who is out, why and since when; budgets, permits and what each waits for."`
	History fleetHistory  `cmd:"" name:"history" help:"Every command, who gave it and what became of it."`
	Budgets fleetBudgets  `cmd:"" name:"budgets" help:"Put budgets in force, all of a file in place of all that were."`
	Forget  fleetForget   `cmd:"" name:"forget" help:"A member that does not come back counts no more."`
	Leave   fleetLeave    `cmd:"" name:"leave" help:"Take a steward out of those that agree, for good."`
}

type fleetHistory struct {
	asking
	JSON    bool   `name:"json"`
	Parquet string `name:"parquet" help:"Write it as Parquet." placeholder:"FILE" type:"path"`
}

func (c *fleetHistory) Run(o output) error {
	return c.ask(o, Agree{Do: "history", JSON: c.JSON, Path: c.Parquet})
}

type fleetBudgets struct {
	asking
	File string `arg:"" name:"file" help:"An INI with sections [budget NAME]." type:"path"`
}

func (c *fleetBudgets) Run(o output) error { return c.ask(o, Agree{Do: "budgets", Path: c.File}) }

type fleetForget struct {
	asking
	Name string `arg:"" name:"name"`
}

func (c *fleetForget) Run(o output) error { return c.ask(o, Agree{Do: "forget", Name: c.Name}) }

type fleetLeave struct {
	asking
	Name string `arg:"" name:"name"`
}

func (c *fleetLeave) Run(o output) error { return c.ask(o, Agree{Do: "leave", Name: c.Name}) }

// hookCommand tells a rehearsal to start a member anew: it is what the rehearsal tells its stewards to run.
type hookCommand struct {
	Socket  string `arg:"" name:"socket"`
	Name    string `arg:"" name:"name"`
	Release string `arg:"" name:"release" optional:""`
}

func (c *hookCommand) Run(o output) error {
	if linked == nil {
		return over(sibling)
	}
	return linked.Hook(c.Socket, c.Name, c.Release, o.out)
}

// Agreeing is what a program brings that can ask the stewards, or be one.
type Agreeing struct {
	Agree   func(a Agree, out io.Writer) error
	Steward func(operated, format string, begin, alone bool) error
	Hook    func(socket, name, release string, out io.Writer) error
}
