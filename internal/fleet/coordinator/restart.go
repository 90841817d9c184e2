package coordinator

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lanewheel/internal/coordination"
)

// restartState is how far the operator's command is for one permit.
type restartState struct {
	running     atomic.Bool
	done        atomic.Bool
	attempts    int
	nextAttempt time.Time
}

// scheduleRestart has the operator's command run for a member that is out, again and later each time while it fails. Danger: a member that has left the fleet
// and not ended yet can't be started, and would stay out for ever.
func (s *Coordinator) scheduleRestart(restart *restartState, permit coordination.Permit, release string) {
	if restart.running.Load() || restart.done.Load() || time.Now().Before(restart.nextAttempt) {
		return
	}
	restart.attempts++
	restart.nextAttempt = time.Now().Add(min(500*time.Millisecond<<min(restart.attempts, 6), 15*time.Second))
	restart.running.Store(true)
	go func() {
		restart.done.Store(s.runRestartCommand(permit, release))
		restart.running.Store(false)
	}()
}

// runRestartCommand runs the operator's command, with a bound on its time and on what it prints, and tells whether it went well.
func (s *Coordinator) runRestartCommand(permit coordination.Permit, release string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.RestartTimeout)
	defer cancel()
	args := strings.Fields(s.config.RestartCommand)
	for i := range args {
		args[i] = strings.NewReplacer("{name}", string(permit.Member), "{release}", release).Replace(args[i])
	}
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Env = append(os.Environ(), "LANEWHEEL_NAME="+string(permit.Member), "LANEWHEEL_RELEASE="+release)
	output := &limitedBuffer{limit: s.config.RestartOutputLimit}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.WaitDelay = time.Second // Danger: a child of its own that keeps the output open
	startedAt := time.Now()
	err := cmd.Run()
	slog.Info("restart", "member", string(permit.Member), "release", release, "permit", uint64(permit.ID), "took_ms", time.Since(startedAt).Milliseconds(), "err", err, "said", string(output.data), "more", output.discarded)
	return err == nil
}

// limitedBuffer keeps the first bytes of what is written.
type limitedBuffer struct {
	mu        sync.Mutex
	data      []byte
	limit     int
	discarded int
}

func (c *limitedBuffer) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(b), c.limit-len(c.data))
	c.data = append(c.data, b[:n]...)
	c.discarded += len(b) - n
	return len(b), nil
}
