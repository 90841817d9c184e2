package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lanewheel/internal/fake"
)

// TestRenamedWarnedOnce checks that a process that executes the sibling program warns only once about the earlier
// names in the command line and in the operator's file, and that the earlier names still take effect.
func TestRenamedWarnedOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "files")
	writeFiles(dir, map[string]string{
		"keys": clusterKeys("x"),
		"op.ini": "[relay]\nway = informed\n[grants]\ncap = 3\n[steward]\nlisten = 127.0.0.1:7960\nfolder = log.d\n" +
			"stewards = 127.0.0.1:7960\nsnapshot-every = 1\n[fleet]\nname = n\nlisten = " + gossipAddr(25) +
			"\nserves = 127.0.0.1:1\nkeys = keys\n",
	})
	// Because of an invalid value the process exits before it serves. It warns about the earlier names in the command
	// line, and the diagnostic contains the setting's name as written in the file.
	for arguments, want := range map[string]string{
		"relay --operator ":              "relay is now proxy",
		"desk --operator ":               "desk is now allocator",
		"steward --begin --operator ":    "steward is now coordinator; --begin is now --bootstrap",
		"steward --log json --operator ": "steward is now coordinator",
	} {
		out, err := command(strings.Fields(arguments + filepath.Join(dir, "op.ini"))...).CombinedOutput()
		text := string(out)
		if err == nil || strings.Count(text, "renamed commands") != 1 || !strings.Contains(text, want) ||
			!strings.Contains(text, "steward.snapshot-every: is") {
			t.Errorf("%s: error %v, output\n%s", arguments, err, text)
		}
	}
}

// TestRenamedSettingsWarnedOnce checks that a process that serves with earlier names in its operator's file warns about
// them only once, even if it reloads the file.
func TestRenamedSettingsWarnedOnce(t *testing.T) {
	extra := "gone-after = 2s\nfenced = leave\n"
	n := startNode(nodeOptions{name: "a", host: 26, keys: "x", seeds: []int{26}, extra: extra})
	fake.WaitFor("the node to answer", func() bool { return n.snapshot().Name != "" })
	text := append([]byte("; read again\n"), readFile(t, n.operatorPath)...)
	if err := os.WriteFile(n.operatorPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	n.signal(syscall.SIGHUP)
	// The log may be read only after the process has exited, so the test cannot wait for the log line of the reload. It
	// checks below that the log contains the line.
	time.Sleep(time.Second)
	n.stop(syscall.SIGTERM)
	logged := n.log.String()
	want := `msg="renamed settings" use="fleet.gone-after is now fleet.dead-after; ` +
		`fleet.fenced is now fleet.when-fenced; fleet.fenced = leave is now drain"`
	if strings.Count(logged, "renamed settings") != 1 || !strings.Contains(logged, want) ||
		!strings.Contains(logged, "msg=\"operator configuration reloaded\"") {
		t.Errorf("the log must contain one warning %s and the log line of the reload, but is\n%s", want, logged)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
