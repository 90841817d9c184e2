package cli

// proxyCommand forwards requests to the instances of its fleet.
type proxyCommand struct {
	Operator string `name:"operator" help:"${help_operator}" placeholder:"FILE" type:"path" required:""`
	logFlag
}

// Help is shown with the command's own help.
func (c *proxyCommand) Help() string {
	return "The operator's file needs the sections [fleet] and [proxy]."
}

func (c *proxyCommand) Run() error {
	return runWithComponents(func(linked *Components) error {
		return reportStartFailure(linked.RunProxy(c.Operator, c.Log))
	})
}
