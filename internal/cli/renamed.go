package cli

import (
	"log/slog"
	"os"
	"strings"

	"lanewheel/internal/logging"
)

// renamedCommands maps the earlier names of commands to their current names. Earlier names are accepted but not shown
// in the help.
var renamedCommands = map[string]string{
	"steward":      "coordinator",
	"desk":         "allocator",
	"relay":        "proxy",
	"hook":         "drill-hook",
	"release back": "release rollback",
}

// renamedFlags maps, for each command by its current name, the earlier names of its flags to their current names.
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

// renameArgs returns a command line with the earlier names replaced by the current ones. replacements describes each
// replacement, for example "desk is now allocator".
func renameArgs(args []string) (renamed, replacements []string) {
	renamed = append(renamed, args...)
	note := func(earlier, now string) { replacements = append(replacements, earlier+" is now "+now) }
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
	return renamed, replacements
}

// warnRenamed logs all earlier names on the command line in one warning, in the log format of the command. replacements
// is the result of renameArgs; nothing is logged if it is empty.
func (c *commandLine) warnRenamed(command string, replacements []string) {
	if len(replacements) == 0 {
		return
	}
	name, _, _ := strings.Cut(command, " ")
	formats := map[string]string{
		"serve":       c.Serve.Log,
		"proxy":       c.Proxy.Log,
		"allocator":   c.Allocator.Log,
		"coordinator": c.Coordinator.Log,
	}
	if format, found := formats[name]; found {
		logging.Setup(os.Stderr, logging.Format(format))
	}
	slog.Warn("renamed commands", "use", strings.Join(replacements, "; "))
}
