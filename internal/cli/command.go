// Package cli is the command line: one file a sub-command. It parses, prints and gives an exit code.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/lifecycle"
	"lanewheel/internal/logging"
)

// commandLine is the whole command line.
type commandLine struct {
	Serve serveCommand `cmd:"" name:"serve" default:"withargs" help:"Serve as one instance: the same as with no arguments."`
	Check checkCommand `cmd:"" name:"check" help:"Read a configuration (JSON) or an operator's file (INI) and say all that is wrong."`
	Try   tryCommand   `cmd:"" name:"try" help:"Run an instance among stand-ins for all it speaks to, under a load of client stubs."`
	Keys  keysCommand  `cmd:"" name:"keys" help:"Make, publish and retire the keys that tokens are signed with."`
	Token tokenCommand `cmd:"" name:"token" help:"Issue and show tokens."`
	Queue queueCommand `cmd:"" name:"queue" help:"Check, feed and watch the queues that an operator's file tells of."`
	Cert  certCommand  `cmd:"" name:"cert" help:"Make an authority, issue certificates and take them back."`

	Proxy       proxyCommand       `cmd:"" name:"relay" help:"Pass ops on to the instances of a fleet."`
	Allocator   allocatorCommand   `cmd:"" name:"desk" help:"Stand beside a service below, and grant the fleet its calls."`
	Coordinator coordinatorCommand `cmd:"" name:"steward" help:"Hold what the fleet has agreed, with the other stewards."`
	Drain       drainCommand       `cmd:"" name:"drain" help:"Ask for leave to take a member out, and wait for its turn."`
	Release     releaseCommand     `cmd:"" name:"release" help:"Bring a release out in waves, halt it, bring it back."`
	Fleet       fleetCommand       `cmd:"" name:"fleet" help:"Show and change what the fleet has agreed."`
	DrillHook   drillHookCommand   `cmd:"" name:"hook" hidden:""`
	Members     membersCommand     `cmd:"" name:"members" help:"Show how a running process sees its fleet, and how far views differ."`
	Drill       drillCommand       `cmd:"" name:"drill" help:"Start many processes, break what lies between them by a script, and judge."`
}

// output is what a sub-command prints to.
type output struct{ out, errs io.Writer }

// errReported ends a command with 1 whose faults are printed already.
var errReported = errors.New("said")

// Main carries a command line out and gives the exit code: 0 done, 1 failed or something is wrong, 2 a command line
// that can't be read. With no arguments it serves; the platform starts it so, and the parser is not even built then.
func Main(args []string, out, errs io.Writer) int {
	defer logging.Flush()
	if len(args) == 0 {
		return serve("", "")
	}
	var commands commandLine
	code := -1
	parser, err := kong.New(&commands, kong.Name("lanewheel"), kong.Writers(out, errs), kong.Exit(func(c int) { code = c }),
		kong.Description("Admission and scheduling decisions for servers behind other people's balancers."),
		kong.Vars{"user": currentUser()},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.UsageOnError())
	if err != nil {
		panic(err) // the tags above are wrong, which every run would show
	}
	parsed, err := parser.Parse(args)
	if code >= 0 { // it has shown its help
		return code
	}
	if err != nil {
		fmt.Fprintf(errs, "lanewheel: %v; see lanewheel --help\n", err)
		return 2
	}
	switch err := parsed.Run(output{out, errs}); {
	case err == nil:
		return 0
	case errors.Is(err, errReported):
		return 1
	default:
		fmt.Fprintf(errs, "lanewheel: %v\n", err)
		return 1
	}
}

// currentUser is who gives a command, as far as that shows.
func currentUser() string {
	for _, name := range []string{"SUDO_USER", "USER", "LOGNAME"} {
		if v := os.Getenv(name); v != "" {
			return v
		}
	}
	return "operator"
}

// serveCommand is one instance, as the platform starts it.
type serveCommand struct {
	Operator string `name:"operator" help:"Operator's file (INI); read again at SIGHUP." placeholder:"FILE" type:"path"`
	Log      string `name:"log" help:"Form of the log: text or json. Without it the operator's file says." enum:"text,json," default:""`
}

func (c *serveCommand) Run() error {
	if serve(c.Operator, c.Log) != 0 {
		return errReported
	}
	return nil
}

func serve(operatorFile, logFormat string) int {
	options := lifecycle.Options{
		ConfigPath:   os.Getenv("RELAY_CONFIG"),
		OperatorPath: operatorFile,
		LogFormat:    logging.Format(logFormat),
	}
	var joinFleet lifecycle.FleetJoiner
	if components != nil {
		joinFleet = components.FleetHooks
	}
	err := lifecycle.Run(options, joinFleet)
	if errors.Is(err, lifecycle.ErrFleetNotLinked) {
		logging.Flush()
		err = execProgram(fleetProgram)
	}
	if logStartFailure(err) != nil {
		return 1
	}
	return 0
}

// logStartFailure says in one line why something did not start.
func logStartFailure(err error) error {
	if err == nil {
		return nil
	}
	var diagnostics diagnostic.List
	if errors.As(err, &diagnostics) && len(diagnostics) > 1 {
		slog.Error("cannot-start", "err", diagnostics[0], "more", len(diagnostics)-1)
	} else {
		slog.Error("cannot-start", "err", err)
	}
	return errReported
}
