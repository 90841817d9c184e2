package coordinator

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fake"
)

// The restart command receives the member's name and the release to start, through the placeholders {name} and
// {release} and through two environment variables.
func TestRestartGolden(t *testing.T) {
	dir := t.TempDir()
	script, output := filepath.Join(dir, "start"), filepath.Join(dir, "output")
	text := "#!/bin/sh\necho \"$1 $2 $LANEWHEEL_NAME $LANEWHEEL_RELEASE\" >" + output + "\n"
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	coordinator := &Coordinator{config: Config{
		RestartCommand:     script + " at={name} to={release}",
		RestartTimeout:     10 * time.Second,
		RestartOutputLimit: 64,
	}}
	if !coordinator.runRestartCommand(coordination.Permit{Member: "n1", ID: 42}, "2") {
		t.Fatal("the command failed")
	}
	if got := string(fake.Must(os.ReadFile(output))); got != "at=n1 to=2 n1 2\n" {
		t.Errorf("the command wrote %q", got)
	}
}

// The minimum time between the starts of two runs of the restart command doubles up to a maximum.
func TestRestartBackoff(t *testing.T) {
	for i, seconds := range []time.Duration{1, 2, 4, 8, 15, 15, 15} {
		if got := restartBackoff(i + 1); got != seconds*time.Second {
			t.Errorf("attempt %d: %v, want %v", i+1, got, seconds*time.Second)
		}
	}
}

// The first bytes of an output are kept, and the discarded ones are counted.
func TestLimitedBuffer(t *testing.T) {
	buffer := &limitedBuffer{limit: 5}
	for _, text := range []string{"abc", "def", "gh"} {
		if n, err := buffer.Write([]byte(text)); n != len(text) || err != nil {
			t.Errorf("%q: %d, %v", text, n, err)
		}
	}
	if string(buffer.data) != "abcde" || buffer.discarded != 3 {
		t.Errorf("kept %q, discarded %d bytes", buffer.data, buffer.discarded)
	}
}
