package cli

// allocatorCommand runs the process that is deployed beside an upstream service and leases its concurrency.
type allocatorCommand struct {
	Operator string `name:"operator" help:"${help_operator}" placeholder:"FILE" type:"path" required:""`
	logFlag
}

// Help returns the text that is appended to the command's help.
func (c *allocatorCommand) Help() string {
	return "The operator's file must have the sections [fleet] and [allocator]."
}

func (c *allocatorCommand) Run() error {
	return runWithComponents(func(linked *Components) error {
		return reportStartFailure(linked.RunAllocator(c.Operator, c.Log))
	})
}
