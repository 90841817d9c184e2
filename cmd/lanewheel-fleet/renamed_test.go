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

// TestRenamedWarnedOnce checks that a process that is handed over to the sibling program warns of earlier names once,
// those of the command line and those of the operator's file, and does what it did.
func TestRenamedWarnedOnce(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "files")
	writeFiles(dir, map[string]string{
		"keys": clusterKeys("x"),
		"op.ini": "[relay]\nway = informed\n[grants]\ncap = 3\n[steward]\nlisten = 127.0.0.1:7960\nfolder = log.d\n" +
			"stewards = 127.0.0.1:7960\nsnapshot-every = 1\n[fleet]\nname = n\nlisten = " + gossipAddr(25) +
			"\nserves = 127.0.0.1:1\nkeys = keys\n",
	})
	// A wrong value has the process end before it serves: the command line is warned of, and the fault names what stands
	// in the file.
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
			t.Errorf("%s: %v\n%s", arguments, err, text)
		}
	}
}

// TestRenamedSettingsWarnedOnce checks the same for an operator's file by which a process serves.
func TestRenamedSettingsWarnedOnce(t *testing.T) {
	extra := "gone-after = 2s\nfenced = leave\n"
	n := startNode(nodeOptions{name: "a", host: 26, keys: "x", seeds: []int{26}, extra: extra})
	fake.WaitFor("the node to answer", func() bool { return n.snapshot().Name != "" })
	text := append([]byte("; read again\n"), readFile(t, n.operatorPath)...)
	if err := os.WriteFile(n.operatorPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	n.signal(syscall.SIGHUP)
	time.Sleep(time.Second) // its log can be read once it has exited, which then says whether it has read the file
	n.stop(syscall.SIGTERM)
	logged := n.log.String()
	want := `msg="renamed settings" use="fleet.gone-after is now fleet.dead-after; ` +
		`fleet.fenced is now fleet.when-fenced; fleet.fenced = leave is now drain"`
	if strings.Count(logged, "renamed settings") != 1 || !strings.Contains(logged, want) ||
		!strings.Contains(logged, "msg=\"operator configuration reloaded\"") {
		t.Errorf("logged\n%s", logged)
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
