package cli

import "io"

// CoordinatorCommand is what an operator asks the stewards.
type CoordinatorCommand struct {
	File        string // the operator's file with the section [steward], or [fleet] and the stewards' addresses in it
	Action      string // status, history, drain, undrain, forget, halt, resume, budgets, release, back, leave
	Name        string
	Zone        string
	Upstream    string
	Path        string // of budgets, a release, or where history goes
	Reason      string
	RequestedBy string
	JSON        bool
	Wait        bool
	Number      uint64
}

// coordinatorFlags is what all of these commands take.
type coordinatorFlags struct {
	Operator    string `name:"operator" help:"Operator's file (INI) whose section [steward] names the stewards and whose [fleet] the keys." placeholder:"FILE" type:"path" required:""`
	RequestedBy string `name:"by" help:"Who gives the command, as the history is to have it." default:"${user}"`
}

func (a coordinatorFlags) request(o output, command CoordinatorCommand) error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	command.File, command.RequestedBy = a.Operator, a.RequestedBy
	return components.Request(command, o.out)
}

// coordinatorCommand is one of those that hold what the fleet has agreed.
type coordinatorCommand struct {
	Operator  string `name:"operator" help:"Operator's file (INI) with the sections [fleet] and [steward]." placeholder:"FILE" type:"path" required:""`
	Bootstrap bool   `name:"begin" help:"Begin a new fleet: once, on one steward. Where there is a state already it changes nothing."`
	Recover   bool   `name:"alone" help:"The other stewards are lost for good, with their disks: go on from this one's state, and take others in anew."`
	Log       string `name:"log" help:"Form of the log: text or json. Without it the operator's file says." enum:"text,json," default:""`
}

func (c *coordinatorCommand) Run() error {
	if components == nil || components.RunCoordinator == nil {
		return execProgram(coordinatorProgram)
	}
	return logStartFailure(components.RunCoordinator(c.Operator, c.Log, c.Bootstrap, c.Recover))
}

// drainCommand asks for leave to go out, and waits for it.
type drainCommand struct {
	coordinatorFlags
	Name     string `arg:"" name:"name" optional:"" help:"A member."`
	Zone     string `name:"zone" help:"All that are up in a zone, one after the other as the budgets let them."`
	Upstream string `name:"below" help:"The desk beside a service below, so that the service can be taken out."`
	Cancel   bool   `name:"drop" help:"Take back what has been asked for and has not begun."`
	Wait     bool   `name:"wait" help:"Say how it goes until all are out." default:"true" negatable:""`
}

func (c *drainCommand) Run(o output) error {
	action := "drain"
	if c.Cancel {
		action = "undrain"
	}
	return c.request(o, CoordinatorCommand{Action: action, Name: c.Name, Zone: c.Zone, Upstream: c.Upstream, Wait: c.Wait && !c.Cancel})
}

// releaseCommand brings a release out in waves.
type releaseCommand struct {
	Start    releaseStart    `cmd:"" name:"start" help:"Start one."`
	Status   releaseStatus   `cmd:"" name:"status" help:"How far it is, and what it waits for."`
	Halt     releaseHalt     `cmd:"" name:"halt" help:"Nothing further begins, anywhere."`
	Resume   releaseResume   `cmd:"" name:"resume" help:"Go on."`
	Rollback releaseRollback `cmd:"" name:"back" help:"The way back: waves in reverse, under the same budgets."`
}

type releaseStart struct {
	coordinatorFlags
	File string `arg:"" name:"file" help:"An INI with a section [release]: docs/operating/releases.md names all that may stand in it." type:"path"`
}

func (c *releaseStart) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "release", Path: c.File})
}

type releaseStatus struct {
	coordinatorFlags
	JSON bool `name:"json"`
}

func (c *releaseStatus) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "status", JSON: c.JSON})
}

type releaseHalt struct {
	coordinatorFlags
	Reason string `arg:"" name:"why" optional:"" help:"Why, for the history."`
}

func (c *releaseHalt) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "halt", Reason: c.Reason})
}

type releaseResume struct{ coordinatorFlags }

func (c *releaseResume) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "resume"})
}

type releaseRollback struct {
	coordinatorFlags
	Reason string `arg:"" name:"why" optional:"" help:"Why, for the history."`
}

func (c *releaseRollback) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "back", Reason: c.Reason})
}

// fleetCommand shows and changes what is agreed.
type fleetCommand struct {
	Status  releaseStatus `cmd:"" name:"status" help:"Who is out, why and since when; budgets, permits and what each waits for."`
	History fleetHistory  `cmd:"" name:"history" help:"Every command, who gave it and what became of it."`
	Budgets fleetBudgets  `cmd:"" name:"budgets" help:"Put budgets in force, all of a file in place of all that were."`
	Forget  fleetForget   `cmd:"" name:"forget" help:"A member that does not come back counts no more."`
	Leave   fleetLeave    `cmd:"" name:"leave" help:"Take a steward out of those that agree, for good."`
}

type fleetHistory struct {
	coordinatorFlags
	JSON    bool   `name:"json"`
	Parquet string `name:"parquet" help:"Write it as Parquet." placeholder:"FILE" type:"path"`
}

func (c *fleetHistory) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "history", JSON: c.JSON, Path: c.Parquet})
}

type fleetBudgets struct {
	coordinatorFlags
	File string `arg:"" name:"file" help:"An INI with sections [budget NAME]." type:"path"`
}

func (c *fleetBudgets) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "budgets", Path: c.File})
}

type fleetForget struct {
	coordinatorFlags
	Name string `arg:"" name:"name"`
}

func (c *fleetForget) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "forget", Name: c.Name})
}

type fleetLeave struct {
	coordinatorFlags
	Name string `arg:"" name:"name"`
}

func (c *fleetLeave) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: "leave", Name: c.Name})
}

// drillHookCommand tells a rehearsal to start a member anew: it is what the rehearsal tells its stewards to run.
type drillHookCommand struct {
	Socket  string `arg:"" name:"socket"`
	Name    string `arg:"" name:"name"`
	Release string `arg:"" name:"release" optional:""`
}

func (c *drillHookCommand) Run(o output) error {
	if components == nil {
		return execProgram(fleetProgram)
	}
	return components.RunDrillHook(c.Socket, c.Name, c.Release, o.out)
}

// CoordinatorFuncs is what a program brings that can ask the stewards, or be one.
type CoordinatorFuncs struct {
	Request        func(a CoordinatorCommand, out io.Writer) error
	RunCoordinator func(operated, format string, begin, alone bool) error
	RunDrillHook   func(socket, name, release string, out io.Writer) error
}
