package cli

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"lanewheel/internal/setuptest"
)

// TestRenameArgs checks that each earlier command and flag is replaced, and that nothing else is.
func TestRenameArgs(t *testing.T) {
	for _, test := range []struct{ args, want, replacements string }{
		{"steward --operator f --begin", "coordinator --operator f --bootstrap",
			"steward is now coordinator; --begin is now --bootstrap"},
		{"coordinator --operator f --alone", "coordinator --operator f --recover", "--alone is now --recover"},
		{"desk --operator f", "allocator --operator f", "desk is now allocator"},
		{"relay --operator f --log json", "proxy --operator f --log json", "relay is now proxy"},
		{"hook socket n1 2", "drill-hook socket n1 2", "hook is now drill-hook"},
		{"release back --operator f why", "release rollback --operator f why", "release back is now release rollback"},
		{"drain --operator f --below=db --drop", "drain --operator f --upstream=db --cancel",
			"--below is now --upstream; --drop is now --cancel"},
		{"try --for 1s --stubs 2 --mean 3ms", "try --duration 1s --clients 2 --mean-run-time 3ms",
			"--for is now --duration; --stubs is now --clients; --mean is now --mean-run-time"},
		{"cert authority d --for 1h", "cert authority d --validity 1h", "--for is now --validity"},
		{"cert issue p --for=1h", "cert issue p --validity=1h", "--for is now --validity"},
		{"cert revoke p --for 1h", "cert revoke p --next-update 1h", "--for is now --next-update"},
		{"token issue --for 1h", "token issue --validity 1h", "--for is now --validity"},
		{"check --named f", "check --include-named-files f", "--named is now --include-named-files"},

		{"drain relay --operator steward", "drain relay --operator steward", ""},
		{"release start back --operator f", "release start back --operator f", ""},
		{"fleet forget desk --operator f", "fleet forget desk --operator f", ""},
		{"check -- --named", "check -- --named", ""},
		{"members relay", "members relay", ""},
		{"drill run --set drill.relays=4 s.ini", "drill run --set drill.relays=4 s.ini", ""},
		{"--operator f", "--operator f", ""},
	} {
		args := strings.Fields(test.args)
		renamed, replacements := renameArgs(args)
		if got := strings.Join(renamed, " "); got != test.want || strings.Join(replacements, "; ") != test.replacements {
			t.Errorf("%s: got %s (%q), want %s (%q)", test.args, got, replacements, test.want,
				test.replacements)
		}
		if strings.Join(args, " ") != test.args {
			t.Errorf("%s: the argument slice was changed to %q", test.args, args)
		}
	}
}

// TestEarlierCommandLine checks that every earlier command, flag and argument is still accepted under its earlier name,
// with the same default, and that no earlier name is shown.
func TestEarlierCommandLine(t *testing.T) {
	current := map[string][]string{} // lines of the flags and arguments, by command
	var b strings.Builder
	writeCommand(&b, testModel())
	command := ""
	for line := range strings.Lines(b.String()) {
		if line = strings.TrimRight(line, "\n"); !strings.HasPrefix(line, " ") {
			command = line
			current[command] = nil
			continue
		}
		current[command] = append(current[command], line)
	}
	earlier := string(setuptest.Must(os.ReadFile("testdata/golden/command-line-earlier.txt")))
	var words []string
	count := 0
	for line := range strings.Lines(earlier) {
		line = strings.TrimRight(line, "\n")
		if !strings.HasPrefix(line, " ") {
			path, rest, hasRest := strings.Cut(line, " (")
			words = strings.Fields(path)[1:]
			renamed, _ := renameArgs(words)
			command = strings.Join(append([]string{"lanewheel"}, renamed...), " ")
			if hasRest {
				command += " (" + rest
			}
			if _, found := current[command]; !found {
				t.Errorf("%s: there is no %s", line, command)
			}
			count++
			continue
		}
		want := line
		if flag, rest, _ := strings.Cut(strings.TrimSpace(line), " "); strings.HasPrefix(flag, "--") {
			renamed, _ := renameArgs(append(slices.Clone(words), flag))
			want = "    " + renamed[len(renamed)-1] + " " + rest
		}
		if !slices.Contains(current[command], want) {
			t.Errorf("%s: %s has no %s", line, command, want)
		}
	}
	if count < 30 {
		t.Errorf("only %d commands in the golden file, want at least 30", count)
	}
	for earlier := range renamedCommands {
		if _, shown := current["lanewheel "+earlier]; shown {
			t.Errorf("the earlier name %s is still a command of its own", earlier)
		}
	}
}

// TestRenamedWarning checks that a command line with earlier names still works and logs one warning.
func TestRenamedWarning(t *testing.T) {
	var warnings bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&warnings, nil)))
	defer slog.SetDefault(before)
	folder := filepath.Join(t.TempDir(), "ca")
	run(t, "cert", "authority", folder, "--for", "1h")
	if _, err := os.Stat(filepath.Join(folder, "authority.pem")); err != nil {
		t.Error(err)
	}
	want := `level=WARN msg="renamed commands" use="--for is now --validity"` + "\n"
	if got := warnings.String(); !strings.HasSuffix(got, want) || strings.Count(got, "\n") != 1 {
		t.Errorf("logged\n%swant\n%s", got, want)
	}
	warnings.Reset()
	run(t, "cert", "issue", filepath.Join(folder, "c"), "--authority", folder, "--validity", "1h")
	if warnings.Len() > 0 {
		t.Errorf("logged %s", &warnings)
	}
	var out, errs bytes.Buffer
	if code := Main([]string{"--help"}, &out, &errs); code != 0 {
		t.Fatal(code, &errs)
	}
	for _, earlier := range []string{"steward", "desk", "relay", "hook"} {
		if strings.Contains(out.String(), "\n  "+earlier) {
			t.Errorf("the help shows %s:\n%s", earlier, &out)
		}
	}
}
