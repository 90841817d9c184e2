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

const (
	minRestartBackoff = time.Second
	maxRestartBackoff = 15 * time.Second
	// restartWaitDelay is how long the command's output is waited for once it has ended: a child of its own may keep
	// it open.
	restartWaitDelay = time.Second
)

// restartState is how far the operator's command is for one permit.
type restartState struct {
	running     atomic.Bool
	succeeded   atomic.Bool // it went well
	attempts    int         // owned by leadLoop
	nextAttempt time.Time   // owned by leadLoop
}

// restartBackoff is the pause after an attempt, counted from 1.
func restartBackoff(attempt int) time.Duration {
	return min(minRestartBackoff<<min(attempt-1, 5), maxRestartBackoff)
}

// scheduleRestart runs the operator's command for a member that is out, again and later each time while it fails: a
// member that has left the fleet and not ended yet can't be started, and would stay out for ever.
func (c *Coordinator) scheduleRestart(restart *restartState, permit coordination.Permit, release string) {
	if restart.running.Load() || restart.succeeded.Load() || time.Now().Before(restart.nextAttempt) {
		return
	}
	restart.attempts++
	restart.nextAttempt = time.Now().Add(restartBackoff(restart.attempts))
	restart.running.Store(true)
	go func() {
		restart.succeeded.Store(c.runRestartCommand(permit, release))
		restart.running.Store(false)
	}()
}

// runRestartCommand runs the operator's command, with bounds on its time and its output, and tells whether it went
// well.
func (c *Coordinator) runRestartCommand(permit coordination.Permit, release string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.config.RestartTimeout)
	defer cancel()
	placeholders := strings.NewReplacer("{name}", string(permit.Member), "{release}", release)
	args := strings.Fields(c.config.RestartCommand)
	for i := range args {
		args[i] = placeholders.Replace(args[i])
	}
	command := exec.CommandContext(ctx, args[0], args[1:]...)
	command.Env = append(os.Environ(), "LANEWHEEL_NAME="+string(permit.Member), "LANEWHEEL_RELEASE="+release)
	output := &limitedBuffer{limit: c.config.RestartOutputLimit}
	command.Stdout = output
	command.Stderr = output
	command.WaitDelay = restartWaitDelay
	startedAt := time.Now()
	err := command.Run()
	slog.Info("restart command finished",
		"member", string(permit.Member),
		"release", release,
		"permit", uint64(permit.ID),
		"duration", time.Since(startedAt),
		"err", err,
		"output", string(output.data),
		"output_dropped", output.discarded)
	return err == nil
}

// limitedBuffer keeps the first bytes of what is written and counts the others.
type limitedBuffer struct {
	mu        sync.Mutex
	data      []byte // guarded by mu
	limit     int    // bytes
	discarded int    // bytes, guarded by mu
}

// Write never fails and never keeps the writer waiting.
func (b *limitedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := min(len(data), b.limit-len(b.data))
	b.data = append(b.data, data[:kept]...)
	b.discarded += len(data) - kept
	return len(data), nil
}
