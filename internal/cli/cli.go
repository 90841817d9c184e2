// Package cli implements the command line, with one file for each sub-command. It parses the arguments, runs the
// command, prints its output and returns the exit code.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/logging"
)

// Exit codes. A command that fails prints or logs the reason.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2 // the command line can't be parsed
)

// commandLine is the root of the command line, from which kong builds the parser.
type commandLine struct {
	Serve serveCommand `cmd:"" name:"serve" default:"withargs" help:"${help_serve}"`
	Check checkCommand `cmd:"" name:"check" help:"${help_check}"`
	Try   tryCommand   `cmd:"" name:"try" help:"Run an instance with fakes of its dependencies, and send it requests."`
	Keys  keysCommand  `cmd:"" name:"keys" help:"Create, publish and retire the keys that sign tokens."`
	Token tokenCommand `cmd:"" name:"token" help:"Issue and inspect tokens."`
	Queue queueCommand `cmd:"" name:"queue" help:"Check and watch the queues of an operator's file, and send to them."`
	Cert  certCommand  `cmd:"" name:"cert" help:"Create an authority, issue certificates and revoke them."`

	Proxy       proxyCommand       `cmd:"" name:"proxy" help:"Run a proxy that forwards requests to instances of a fleet."`
	Allocator   allocatorCommand   `cmd:"" name:"allocator" help:"${help_allocator}"`
	Coordinator coordinatorCommand `cmd:"" name:"coordinator" help:"${help_coordinator}"`
	Drain       drainCommand       `cmd:"" name:"drain" help:"Drain members by permit, and wait until they are out."`
	Release     releaseCommand     `cmd:"" name:"release" help:"Roll out a release in waves, halt it or roll it back."`
	Fleet       fleetCommand       `cmd:"" name:"fleet" help:"Show and change the replicated state of the fleet."`
	DrillHook   drillHookCommand   `cmd:"" name:"drill-hook" hidden:""`
	Members     membersCommand     `cmd:"" name:"members" help:"${help_members}"`
	Drill       drillCommand       `cmd:"" name:"drill" help:"${help_drill}"`
}

// output is the standard output and standard error of a sub-command. Write errors are ignored, as there is nowhere left
// to report them.
type output struct{ out, errs io.Writer }

// printf prints to standard output.
func (o output) printf(format string, values ...any) { _, _ = fmt.Fprintf(o.out, format, values...) }

// errReported is returned by a command that has already reported its errors. The program then exits with exitFailure.
var errReported = errors.New("errors were already reported")

// forwardedArgs is the command line passed to a sibling program. It uses the current names of commands and flags, so
// that the sibling does not warn about earlier names again. Main sets it before any command runs.
var forwardedArgs []string

// Main runs a command line and returns the exit code. Without arguments, which is how the platform starts the program,
// it serves and does not build the parser.
func Main(args []string, out, errs io.Writer) int {
	defer logging.Flush()
	if len(args) == 0 {
		forwardedArgs = nil
		return serve("", "")
	}
	args, renamed := renameArgs(args)
	forwardedArgs = args
	var commands commandLine
	code := -1
	parser, err := newParser(&commands, currentUser(), kong.Writers(out, errs), kong.Exit(func(c int) { code = c }))
	if err != nil {
		panic(err) // a struct tag of commandLine is invalid, so every run would fail
	}
	parsed, err := parser.Parse(args)
	if code >= 0 { // the parser has printed the help and called kong.Exit
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(errs, "lanewheel: %v; see lanewheel --help\n", err)
		return exitUsage
	}
	commands.warnRenamed(parsed.Command(), renamed)
	switch err := parsed.Run(output{out, errs}); {
	case err == nil:
		return exitSuccess
	case errors.Is(err, errReported):
		return exitFailure
	default:
		_, _ = fmt.Fprintf(errs, "lanewheel: %v\n", err)
		return exitFailure
	}
}

// newParser returns a parser that fills commands. user is the default of the flag --by.
func newParser(commands *commandLine, user string, options ...kong.Option) (*kong.Kong, error) {
	return kong.New(commands, append(options,
		kong.Name("lanewheel"),
		kong.Description("Admission and scheduling for servers behind other people's load balancers."),
		helpTexts, kong.Vars{"user": user},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.UsageOnError())...)
}

// currentUser returns the user's name from the environment. Under sudo it is the user who called sudo.
func currentUser() string {
	for _, name := range []string{"SUDO_USER", "USER", "LOGNAME"} {
		if user := os.Getenv(name); user != "" {
			return user
		}
	}
	return "operator"
}

// logFlag is the flag --log of the commands that run as a service.
type logFlag struct {
	Log string `name:"log" help:"${help_log}" enum:"text,json," default:""`
}

// reportStartFailure logs why a process did not start, in one line, and returns errReported. It returns nil if err is
// nil. Of several diagnostics it logs the first one and the number of the others.
func reportStartFailure(err error) error {
	if err == nil {
		return nil
	}
	var diagnostics diagnostic.List
	if errors.As(err, &diagnostics) && len(diagnostics) > 1 {
		slog.Error("start failed", "err", diagnostics[0], "suppressed", len(diagnostics)-1)
	} else {
		slog.Error("start failed", "err", err)
	}
	return errReported
}
