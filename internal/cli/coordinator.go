package cli

// CoordinatorAction is an action that an operator requests from the coordinators. Its text is printed once the
// coordinators have agreed on the action.
type CoordinatorAction string

// The actions that an operator can request.
const (
	ActionStatus   CoordinatorAction = "status"
	ActionHistory  CoordinatorAction = "history"
	ActionDrain    CoordinatorAction = "drain"
	ActionUndrain  CoordinatorAction = "undrain"
	ActionForget   CoordinatorAction = "forget"
	ActionHalt     CoordinatorAction = "halt"
	ActionResume   CoordinatorAction = "resume"
	ActionBudgets  CoordinatorAction = "budgets"
	ActionRelease  CoordinatorAction = "release"
	ActionRollback CoordinatorAction = "back"
	ActionLeave    CoordinatorAction = "leave"
)

// CoordinatorCommand is an operator's request to the coordinators.
type CoordinatorCommand struct {
	File        string // operator's file with the sections [coordinator] and [fleet]
	Action      CoordinatorAction
	Name        string // of a member or coordinator
	Zone        string
	Upstream    string
	Path        string // file of the budgets or of the rollout plan, or file to export the history to
	Reason      string
	RequestedBy string
	JSON        bool
	Wait        bool
}

// coordinatorFlags holds the flags of all commands that send a request to the coordinators.
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

// coordinatorCommand runs a coordinator, one of the processes that hold the replicated state of the fleet.
type coordinatorCommand struct {
	Operator  string `name:"operator" help:"${help_operator}" placeholder:"FILE" type:"path" required:""`
	Bootstrap bool   `name:"bootstrap" help:"${help_bootstrap}"`
	Recover   bool   `name:"recover" help:"${help_recover}"`
	logFlag
}

// Help returns the text that is appended to the command's help.
func (c *coordinatorCommand) Help() string {
	return "The operator's file must have the sections [fleet] and [coordinator]."
}

func (c *coordinatorCommand) Run() error {
	if components == nil || components.RunCoordinator == nil {
		return execProgram(coordinatorProgram)
	}
	return reportStartFailure(components.RunCoordinator(c.Operator, c.Log, c.Bootstrap, c.Recover))
}
