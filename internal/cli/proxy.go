package cli

// proxyCommand runs a proxy, which forwards requests to the instances of its fleet.
type proxyCommand struct {
	Operator string `name:"operator" help:"${help_operator}" placeholder:"FILE" type:"path" required:""`
	logFlag
}

// Help returns the text that is appended to the command's help.
func (c *proxyCommand) Help() string {
	return "The operator's file must have the sections [fleet] and [proxy]."
}

func (c *proxyCommand) Run() error {
	return runWithComponents(func(linked *Components) error {
		return reportStartFailure(linked.RunProxy(c.Operator, c.Log))
	})
}
