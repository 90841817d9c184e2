package cli

// allocatorCommand leases the concurrency of an upstream service, beside which it stands.
type allocatorCommand struct {
	Operator string `name:"operator" help:"${help_operator}" placeholder:"FILE" type:"path" required:""`
	logFlag
}

// Help is shown with the command's own help.
func (c *allocatorCommand) Help() string {
	return "The operator's file needs the sections [fleet] and [allocator]."
}

func (c *allocatorCommand) Run() error {
	return runWithComponents(func(linked *Components) error {
		return reportStartFailure(linked.RunAllocator(c.Operator, c.Log))
	})
}
