package cli

// drainCommand requests permits to take members out of service, and waits until the members are out.
type drainCommand struct {
	coordinatorFlags
	Name     string `arg:"" name:"name" optional:"" help:"Name of a member."`
	Zone     string `name:"zone" help:"${help_drain_zone}"`
	Upstream string `name:"upstream" help:"${help_drain_upstream}"`
	Cancel   bool   `name:"cancel" help:"${help_cancel}"`
	Wait     bool   `name:"wait" help:"Print the progress until all are out of service." default:"true" negatable:""`
}

func (c *drainCommand) Run(o output) error {
	command := CoordinatorCommand{
		Action:   ActionDrain,
		Name:     c.Name,
		Zone:     c.Zone,
		Upstream: c.Upstream,
		Wait:     c.Wait && !c.Cancel,
	}
	if c.Cancel {
		command.Action = ActionUndrain
	}
	return c.request(o, command)
}
