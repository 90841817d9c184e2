package cli

// CoordinatorAction is what an operator has the coordinators do. Its text is printed when it is agreed.
type CoordinatorAction string

// The actions.
const (
	ActionStatus  CoordinatorAction = "status"
	ActionHistory CoordinatorAction = "history"
	ActionDrain   CoordinatorAction = "drain"
	ActionUndrain CoordinatorAction = "undrain"
	ActionForget  CoordinatorAction = "forget"
	ActionHalt    CoordinatorAction = "halt"
	ActionResume  CoordinatorAction = "resume"
	ActionBudgets CoordinatorAction = "budgets"
	ActionRelease CoordinatorAction = "release"
	ActionRollback    CoordinatorAction = "back"
	ActionLeave   CoordinatorAction = "leave"
)

// CoordinatorCommand is what an operator asks the coordinators.
type CoordinatorCommand struct {
	File        string // operator's file with the sections [coordinator] and [fleet]
	Action      CoordinatorAction
	Name        string // of a member or coordinator
	Zone        string
	Upstream    string
	Path        string // of budgets, a rollout, or where history goes
	Reason      string
	RequestedBy string
	JSON        bool
	Wait        bool
}

// coordinatorFlags is what all commands take that ask the coordinators.
type coordinatorFlags struct {
	Operator    string `name:"operator" help:"${help_request_operator}" placeholder:"FILE" type:"path" required:""`
	RequestedBy string `name:"by" help:"${help_by}" default:"${user}"`
}

func (f coordinatorFlags) request(o output, command CoordinatorCommand) error {
	return runWithComponents(func(linked *Components) error {
		command.File = f.Operator
		command.RequestedBy = f.RequestedBy
		return linked.Request(command, o.out)
	})
}

// coordinatorCommand is one of the processes that hold the replicated state of the fleet.
type coordinatorCommand struct {
	Operator  string `name:"operator" help:"${help_operator}" placeholder:"FILE" type:"path" required:""`
	Bootstrap bool   `name:"bootstrap" help:"${help_bootstrap}"`
	Recover   bool   `name:"recover" help:"${help_recover}"`
	logFlag
}

// Help is shown with the command's own help.
func (c *coordinatorCommand) Help() string {
	return "The operator's file needs the sections [fleet] and [coordinator]."
}

func (c *coordinatorCommand) Run() error {
	if components == nil || components.RunCoordinator == nil {
		return execProgram(coordinatorProgram)
	}
	return reportStartFailure(components.RunCoordinator(c.Operator, c.Log, c.Bootstrap, c.Recover))
}
