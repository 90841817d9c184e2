package cli

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"lanewheel/internal/setuptest"
)

var update = flag.Bool("update", false, "rewrite the golden files from the current code")

// writeCommand appends a command with its flags and arguments, and all of its sub-commands.
func writeCommand(b *strings.Builder, n *kong.Node) {
	fmt.Fprintf(b, "%s", n.FullPath())
	if n.Hidden {
		b.WriteString(" (hidden)")
	}
	if n.DefaultCmd != nil {
		fmt.Fprintf(b, " (without a command: %s)", n.DefaultCmd.Name)
	}
	b.WriteString("\n")
	value := func(v *kong.Value) {
		fmt.Fprintf(b, " %s", v.Target.Type())
		if v.Required {
			b.WriteString(" required")
		}
		if v.HasDefault {
			fmt.Fprintf(b, " default %q", v.Default)
		}
		if v.Enum != "" {
			fmt.Fprintf(b, " one of %q", v.Enum)
		}
		if v.Tag.Type != "" {
			fmt.Fprintf(b, " type %s", v.Tag.Type)
		}
		b.WriteString("\n")
	}
	for _, arg := range n.Positional {
		fmt.Fprintf(b, "    <%s>", arg.Name)
		value(arg)
	}
	flags := slices.Clone(n.Flags)
	slices.SortFunc(flags, func(x, y *kong.Flag) int { return strings.Compare(x.Name, y.Name) })
	for _, f := range flags {
		fmt.Fprintf(b, "    --%s", f.Name)
		if f.Tag.Negatable != "" {
			b.WriteString(" (or --no-" + f.Name + ")")
		}
		if f.Hidden {
			b.WriteString(" (hidden)")
		}
		value(f.Value)
	}
	children := slices.Clone(n.Children)
	slices.SortFunc(children, func(x, y *kong.Node) int { return strings.Compare(x.Name, y.Name) })
	for _, child := range children {
		writeCommand(b, child)
	}
}

// testModel returns the parser's model of the command line.
func testModel() *kong.Node {
	var commands commandLine
	return setuptest.Must(newParser(&commands, "somebody", kong.Writers(io.Discard, io.Discard))).Model.Node
}

// TestGoldenCommandLine checks that the commands, flags and arguments with their names and defaults are unchanged.
func TestGoldenCommandLine(t *testing.T) {
	var b strings.Builder
	writeCommand(&b, testModel())
	const path = "testdata/golden/command-line.txt"
	if *update {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want := setuptest.Must(os.ReadFile(path)); b.String() != string(want) {
		t.Errorf("the command line is\n%s\nwant\n%s", b.String(), want)
	}
}
