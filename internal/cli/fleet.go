package cli

// fleetCommand shows and changes the replicated state.
type fleetCommand struct {
	Status  releaseStatus `cmd:"" name:"status" help:"${help_fleet_status}"`
	History fleetHistory  `cmd:"" name:"history" help:"Every command, who gave it and what became of it."`
	Budgets fleetBudgets  `cmd:"" name:"budgets" help:"${help_budgets}"`
	Forget  fleetForget   `cmd:"" name:"forget" help:"Forget a member that does not come back."`
	Leave   fleetLeave    `cmd:"" name:"leave" help:"Remove a coordinator from the others, for good."`
}

type fleetHistory struct {
	coordinatorFlags
	JSON    bool   `name:"json"`
	Parquet string `name:"parquet" help:"Write it as Parquet." placeholder:"FILE" type:"path"`
}

func (c *fleetHistory) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionHistory, JSON: c.JSON, Path: c.Parquet})
}

type fleetBudgets struct {
	coordinatorFlags
	File string `arg:"" name:"file" help:"An INI with sections [budget NAME]." type:"path"`
}

func (c *fleetBudgets) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionBudgets, Path: c.File})
}

type fleetForget struct {
	coordinatorFlags
	Name string `arg:"" name:"name"`
}

func (c *fleetForget) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionForget, Name: c.Name})
}

type fleetLeave struct {
	coordinatorFlags
	Name string `arg:"" name:"name"`
}

func (c *fleetLeave) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionLeave, Name: c.Name})
}
