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
	// restartWaitDelay limits the wait for the command's output after the command has exited, because a child process
	// may keep the output open.
	restartWaitDelay = time.Second
)

// restartState is the progress of the operator's restart command for one permit.
type restartState struct {
	running     atomic.Bool
	succeeded   atomic.Bool // the last run succeeded
	attempts    int         // owned by leadLoop
	nextAttempt time.Time   // owned by leadLoop
}

// restartBackoff returns the minimum time between the start of an attempt and that of the next one. Attempts are
// numbered from 1.
func restartBackoff(attempt int) time.Duration {
	return min(minRestartBackoff<<min(attempt-1, 5), maxRestartBackoff)
}

// scheduleRestart starts the operator's command for a member that is gone, unless the command is running, has succeeded
// or is in backoff. A failed command is retried with increasing backoff: a member whose process has left the fleet but
// has not exited yet cannot be started, and without a retry it would stay out of service forever.
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

// runRestartCommand runs the operator's command with limits on its duration and its output. It reports whether the
// command succeeded.
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

// limitedBuffer keeps the first bytes written to it, up to a limit, and counts the discarded ones.
type limitedBuffer struct {
	mu        sync.Mutex
	data      []byte // guarded by mu
	limit     int    // maximum number of bytes in data
	discarded int    // bytes, guarded by mu
}

// Write never fails and never blocks. It discards the bytes beyond the limit.
func (b *limitedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := min(len(data), b.limit-len(b.data))
	b.data = append(b.data, data[:kept]...)
	b.discarded += len(data) - kept
	return len(data), nil
}
