package cli

import (
	"log/slog"
	"os"
	"strings"

	"lanewheel/internal/logging"
)

// renamedCommands are the earlier names of commands, each with the one that it has now. They are accepted, and shown in
// no help.
var renamedCommands = map[string]string{
	"steward":      "coordinator",
	"desk":         "allocator",
	"relay":        "proxy",
	"hook":         "drill-hook",
	"release back": "release rollback",
}

// renamedFlags are the earlier names of flags, by the command's name now.
var renamedFlags = map[string]map[string]string{
	"coordinator":    {"--begin": "--bootstrap", "--alone": "--recover"},
	"drain":          {"--below": "--upstream", "--drop": "--cancel"},
	"try":            {"--for": "--duration", "--stubs": "--clients", "--mean": "--mean-run-time"},
	"cert authority": {"--for": "--validity"},
	"cert issue":     {"--for": "--validity"},
	"cert revoke":    {"--for": "--next-update"},
	"token issue":    {"--for": "--validity"},
	"check":          {"--named": "--include-named-files"},
}

// renameArgs returns a command line in the terms that hold now, and what it used of earlier ones, as "desk is now
// allocator".
func renameArgs(args []string) (renamed, uses []string) {
	renamed = append(renamed, args...)
	note := func(earlier, now string) { uses = append(uses, earlier+" is now "+now) }
	command := ""
	for words := 1; words <= min(2, len(renamed)); words++ {
		written := strings.Join(renamed[:words], " ")
		now, found := renamedCommands[written]
		if found {
			copy(renamed, strings.Split(now, " "))
			note(written, now)
			written = now
		}
		if renamedFlags[written] != nil {
			command = written
		}
	}
	flags := renamedFlags[command]
	for i, arg := range renamed {
		if arg == "--" {
			break
		}
		name, value, hasValue := strings.Cut(arg, "=")
		now, found := flags[name]
		if !found {
			continue
		}
		note(name, now)
		renamed[i] = now
		if hasValue {
			renamed[i] += "=" + value
		}
	}
	return renamed, uses
}

// warnRenamed logs all earlier terms of the command line in one warning, in the form that the command will log in.
func (c *commandLine) warnRenamed(command string, uses []string) {
	if len(uses) == 0 {
		return
	}
	name, _, _ := strings.Cut(command, " ")
	formats := map[string]string{
		"serve":       c.Serve.Log,
		"proxy":       c.Proxy.Log,
		"allocator":   c.Allocator.Log,
		"coordinator": c.Coordinator.Log,
	}
	if format, logs := formats[name]; logs {
		logging.Setup(os.Stderr, logging.Format(format))
	}
	slog.Warn("renamed commands", "use", strings.Join(uses, "; "))
}
