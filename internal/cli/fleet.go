package cli

// fleetCommand prints and changes the replicated state of the fleet.
type fleetCommand struct {
	Status  releaseStatus `cmd:"" name:"status" help:"${help_fleet_status}"`
	History fleetHistory  `cmd:"" name:"history" help:"List every command with its requester and its outcome."`
	Budgets fleetBudgets  `cmd:"" name:"budgets" help:"${help_budgets}"`
	Forget  fleetForget   `cmd:"" name:"forget" help:"Forget a member that will not return."`
	Leave   fleetLeave    `cmd:"" name:"leave" help:"Remove a coordinator permanently."`
}

type fleetHistory struct {
	coordinatorFlags
	JSON    bool   `name:"json"`
	Parquet string `name:"parquet" help:"Write the history as Parquet." placeholder:"FILE" type:"path"`
}

func (c *fleetHistory) Run(o output) error {
	return c.request(o, CoordinatorCommand{Action: ActionHistory, JSON: c.JSON, Path: c.Parquet})
}

type fleetBudgets struct {
	coordinatorFlags
	File string `arg:"" name:"file" help:"INI file with sections [budget NAME]." type:"path"`
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
