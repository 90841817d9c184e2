package cli

// releaseCommand starts, controls and shows the rollout of a release in waves.
type releaseCommand struct {
	Start    releaseStart    `cmd:"" name:"start" help:"Start a rollout."`
	Status   releaseStatus   `cmd:"" name:"status" help:"Show the state of the fleet, the rollout and what it waits for."`
	Halt     releaseHalt     `cmd:"" name:"halt" help:"Halt the whole fleet, so that no further change begins."`
	Resume   releaseResume   `cmd:"" name:"resume" help:"Resume the fleet's changes after a halt."`
	Rollback releaseRollback `cmd:"" name:"rollback" help:"Roll back the waves in reverse order, under the same budgets."`
}

type releaseStart struct {
	coordinatorFlags
	File string `arg:"" name:"file" help:"${help_release_start}" type:"path"`
}

func (c *releaseStart) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionRelease, Path: c.File})
}

type releaseStatus struct {
	coordinatorFlags
	JSON bool `name:"json"`
}

func (c *releaseStatus) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionStatus, JSON: c.JSON})
}

type releaseHalt struct {
	coordinatorFlags
	Reason string `arg:"" name:"why" optional:"" help:"Reason to record in the history."`
}

func (c *releaseHalt) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionHalt, Reason: c.Reason})
}

type releaseResume struct{ coordinatorFlags }

func (c *releaseResume) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionResume})
}

type releaseRollback struct {
	coordinatorFlags
	Reason string `arg:"" name:"why" optional:"" help:"Reason to record in the history."`
}

func (c *releaseRollback) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionRollback, Reason: c.Reason})
}
