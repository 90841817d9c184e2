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
	"lanewheel/internal/logging"
)

// Exit codes. A command that failed has said why.
const (
	exitSuccess   = 0
	exitFailure = 1
	exitUsage  = 2 // the command line can't be read
)

// commandLine is the whole command line.
type commandLine struct {
	Serve serveCommand `cmd:"" name:"serve" default:"withargs" help:"${help_serve}"`
	Check checkCommand `cmd:"" name:"check" help:"${help_check}"`
	Try   tryCommand   `cmd:"" name:"try" help:"Run an instance among fakes of all it speaks to, under a load of clients."`
	Keys  keysCommand  `cmd:"" name:"keys" help:"Make, publish and retire the keys that tokens are signed with."`
	Token tokenCommand `cmd:"" name:"token" help:"Issue and show tokens."`
	Queue queueCommand `cmd:"" name:"queue" help:"Check, feed and watch the queues of an operator's file."`
	Cert  certCommand  `cmd:"" name:"cert" help:"Make an authority, issue certificates and revoke them."`

	Proxy       proxyCommand       `cmd:"" name:"proxy" help:"Forward requests to the instances of a fleet."`
	Allocator   allocatorCommand   `cmd:"" name:"allocator" help:"${help_allocator}"`
	Coordinator coordinatorCommand `cmd:"" name:"coordinator" help:"${help_coordinator}"`
	Drain       drainCommand       `cmd:"" name:"drain" help:"Request a permit to take a member out, and wait for it."`
	Release     releaseCommand     `cmd:"" name:"release" help:"Roll a release out in waves, halt it, roll it back."`
	Fleet       fleetCommand       `cmd:"" name:"fleet" help:"Show and change the replicated state of the fleet."`
	DrillHook   drillHookCommand   `cmd:"" name:"drill-hook" hidden:""`
	Members     membersCommand     `cmd:"" name:"members" help:"${help_members}"`
	Drill       drillCommand       `cmd:"" name:"drill" help:"${help_drill}"`
}

// output is what a sub-command prints to. That it can't be written is not said: there is nobody to say it to.
type output struct{ out, errs io.Writer }

// printf prints to the output.
func (o output) printf(format string, values ...any) { _, _ = fmt.Fprintf(o.out, format, values...) }

// errReported ends a command with exitFailed whose errors are printed already.
var errReported = errors.New("errors were already reported")

// forwardedArgs is the command line that a sibling program gets: in the terms that hold now, so that it does not warn
// again. Main sets it before any command runs.
var forwardedArgs []string

// Main carries a command line out and gives the exit code. With no arguments it serves; the platform starts it so, and
// the parser is not even built then.
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
		panic(err) // the tags above are wrong, which every run would show
	}
	parsed, err := parser.Parse(args)
	if code >= 0 { // it has shown its help
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

// newParser makes the parser of a command line; user is who gives a command unless it says so.
func newParser(commands *commandLine, user string, options ...kong.Option) (*kong.Kong, error) {
	return kong.New(commands, append(options,
		kong.Name("lanewheel"),
		kong.Description("Admission and scheduling decisions for servers behind other people's balancers."),
		helpTexts, kong.Vars{"user": user},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.UsageOnError())...)
}

// currentUser is who gives a command, as far as that shows.
func currentUser() string {
	for _, name := range []string{"SUDO_USER", "USER", "LOGNAME"} {
		if user := os.Getenv(name); user != "" {
			return user
		}
	}
	return "operator"
}

// logFlag is the flag of all commands that keep running.
type logFlag struct {
	Log string `name:"log" help:"${help_log}" enum:"text,json," default:""`
}

// reportStartFailure logs in one line why something did not start.
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
